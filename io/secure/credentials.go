package secure

import (
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jacinthferry/core/event"
	"jacinthferry/core/reason"
)

// ErrUnauthenticated is returned if the peer did not authenticate itself.
var ErrUnauthenticated = errors.New("secure: the peer is not authenticated")

// Files holds the paths of the files with the credentials. Fields may be empty.
type Files struct {
	// Cert is the PEM file of this side's certificate and its intermediates, and Key that of the private
	// key.
	Cert string
	Key  string
	// CA is the PEM file of the certificate authorities that must have issued the peer's
	// certificate.
	CA string
	// ServerName is the name that a dialler expects in the server's certificate, if it is not the address.
	ServerName string
	// Secret is the file of the shared keys, one per line. The first key is sent and each is accepted.
	Secret string
}

// usesTLS reports whether the files configure TLS.
func (f Files) usesTLS() bool { return f.Cert != "" || f.CA != "" || f.ServerName != "" }

// Credentials holds the credentials of one listener or dialler. It is safe for concurrent use. A nil pointer
// means cleartext without authentication.
type Credentials struct {
	files  Files
	record func(event.Event)

	mu      sync.Mutex
	loaded  keyMaterial
	checked time.Time
}

// New loads the files. If all paths are empty, it returns nil. The function record, which may be nil,
// gets events about peers that are refused and about files that change.
func New(files Files, record func(event.Event)) (*Credentials, error) {
	if files == (Files{}) {
		return nil, nil
	}
	m, err := load(files)
	if err != nil {
		return nil, err
	}

	return &Credentials{files: files, record: record, loaded: m, checked: time.Now()}, nil
}

// checkInterval is the time between two checks of the files for changes.
const checkInterval = time.Second

// current returns the content of the files. If changed files cannot be loaded, it returns the content
// that was loaded last.
func (e *Credentials) current() keyMaterial {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.checked) < checkInterval {
		return e.loaded
	}
	e.checked = time.Now()
	if !e.loaded.changed(e.files) {
		return e.loaded
	}
	m, err := load(e.files)
	if err != nil {
		e.emit(event.Event{Kind: event.Key, Reason: reason.Invalid, Detail: err.Error()})

		return e.loaded
	}
	e.loaded = m
	e.emit(event.Event{Kind: event.Key, Detail: "certificates and keys were reloaded"})

	return e.loaded
}

func (e *Credentials) emit(v event.Event) {
	if e.record != nil {
		e.record(v)
	}
}

// ServerConfig returns the TLS configuration of a listener, or nil for cleartext.
func (e *Credentials) ServerConfig() *tls.Config {
	if e == nil || e.files.Cert == "" {
		return nil
	}
	c := &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return e.current().certificate, nil
		},
	}
	if e.files.CA != "" {
		// crypto/tls only requests the certificate. VerifyConnection verifies it, so that a refused client
		// is recorded.
		c.ClientAuth = tls.RequestClientCert
		c.VerifyConnection = e.verifyClient
	}

	return c
}

func (e *Credentials) verifyClient(state tls.ConnectionState) error {
	err := verifyClientChain(state.PeerCertificates, e.current().authorities)
	if err != nil {
		e.emit(event.Event{Kind: event.Refusal, Reason: reason.Stranger, Detail: err.Error()})
	}

	return err
}

func verifyClientChain(chain []*x509.Certificate, roots *x509.CertPool) error {
	if len(chain) == 0 {
		return errors.Wrap(ErrUnauthenticated, "no client certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots: roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	if err != nil {
		return errors.Wrapf(ErrUnauthenticated, "client certificate: %v", err)
	}

	return nil
}

// ClientConfig returns the TLS configuration of a dialler, or nil for cleartext. It must be called again for
// each connection, because the files may change.
func (e *Credentials) ClientConfig() *tls.Config {
	if e == nil || !e.files.usesTLS() {
		return nil
	}
	m := e.current()
	c := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: m.authorities, ServerName: e.files.ServerName}
	if m.certificate != nil {
		c.Certificates = []tls.Certificate{*m.certificate}
	}

	return c
}

// Secret returns the shared key to send, or "" if there is none.
func (e *Credentials) Secret() string {
	if e == nil || e.files.Secret == "" {
		return ""
	}

	return e.current().secrets[0]
}

// AcceptsSecret reports whether the peer's shared key is valid. If no keys are configured, every key is.
// Keys are compared in constant time.
func (e *Credentials) AcceptsSecret(secret string) bool {
	if e == nil || e.files.Secret == "" {
		return true
	}
	got := sha256.Sum256([]byte(secret))
	match := 0
	for _, s := range e.current().secrets {
		want := sha256.Sum256([]byte(s))
		match |= subtle.ConstantTimeCompare(got[:], want[:])
	}

	return match == 1
}

// RecordUnauthenticated records that a peer was refused because it did not authenticate itself. The receiver must not
// be nil.
func (e *Credentials) RecordUnauthenticated(detail string) {
	e.emit(event.Event{Kind: event.Refusal, Reason: reason.Stranger, Detail: detail})
}

// RecordConnectionError records an error of a connection that has not carried a request. The receiver must not be
// nil.
func (e *Credentials) RecordConnectionError(detail string) {
	e.emit(event.Event{Kind: event.Connection, Reason: reason.Connection, Detail: detail})
}
