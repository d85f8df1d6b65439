// Package keys creates certificate authorities and certificates for test deployments.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

// validity is the period from now for which a certificate is valid.
const validity = time.Hour

// CA is a certificate authority (CA).
type CA struct {
	// CertFile is the path of the CA's certificate, in PEM.
	CertFile string
	dir      string
	cert     *x509.Certificate
	key      *ecdsa.PrivateKey
}

// NewCA creates a CA with that common name. Its certificates and keys are written to dir; its own key is
// kept in memory only.
func NewCA(dir, name string) (*CA, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "keys: cannot create authority")
	}
	template := newTemplate(name)
	template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "keys: cannot create authority")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "keys: cannot create authority")
	}
	a := &CA{CertFile: filepath.Join(dir, name+".pem"), dir: dir, cert: cert, key: key}

	return a, writePEM(a.CertFile, "CERTIFICATE", der)
}

// Issue creates a certificate for 127.0.0.1, valid for servers and clients, and returns the paths of the PEM files
// of the certificate and its key. It replaces files of the same name.
func (a *CA) Issue(name string) (certFile, keyFile string, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", errors.Wrap(err, "keys: cannot create certificate")
	}
	template := newTemplate(name)
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return "", "", errors.Wrap(err, "keys: cannot create certificate")
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return "", "", errors.Wrap(err, "keys: cannot create certificate")
	}
	certFile, keyFile = filepath.Join(a.dir, name+"-cert.pem"), filepath.Join(a.dir, name+"-key.pem")
	if err := writePEM(certFile, "CERTIFICATE", der); err != nil {
		return "", "", err
	}

	return certFile, keyFile, writePEM(keyFile, "EC PRIVATE KEY", keyDER)
}

// newTemplate returns a template that is valid from a minute ago.
func newTemplate(name string) *x509.Certificate {
	now := time.Now()

	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-time.Minute), NotAfter: now.Add(validity),
	}
}

// writePEM replaces the file atomically, so that no reader sees a part of it.
func writePEM(path, blockType string, der []byte) error {
	temporary := path + ".next"
	encoded := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	if err := os.WriteFile(temporary, encoded, 0o600); err != nil {
		return errors.Wrap(err, "keys: cannot write file")
	}

	return errors.Wrap(os.Rename(temporary, path), "keys: cannot write file")
}
