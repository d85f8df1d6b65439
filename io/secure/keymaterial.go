package secure

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrInvalidFiles is returned for files that cannot be read or have invalid content.
var ErrInvalidFiles = errors.New("secure: invalid certificate or key files")

// fileStat identifies a version of a file.
type fileStat struct {
	size     int64
	modified time.Time
}

// keyMaterial is the content of the files when they were loaded.
type keyMaterial struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
	secrets     []string
	stats       map[string]fileStat
}

func load(f Files) (keyMaterial, error) {
	m := keyMaterial{stats: statFiles(f)}
	if f.Cert != "" {
		c, err := tls.LoadX509KeyPair(f.Cert, f.Key)
		if err != nil {
			return m, errors.Wrapf(ErrInvalidFiles, "certificate %s and key %s: %v", f.Cert, f.Key, err)
		}
		m.certificate = &c
	}
	if f.CA != "" {
		text, err := os.ReadFile(f.CA)
		if err != nil {
			return m, errors.Wrapf(ErrInvalidFiles, "authority: %v", err)
		}
		m.authorities = x509.NewCertPool()
		if !m.authorities.AppendCertsFromPEM(text) {
			return m, errors.Wrapf(ErrInvalidFiles, "authority %s: holds no PEM certificate", f.CA)
		}
	}
	if f.Secret != "" {
		text, err := os.ReadFile(f.Secret)
		if err != nil {
			return m, errors.Wrapf(ErrInvalidFiles, "secret: %v", err)
		}
		if m.secrets, err = parseSecrets(string(text)); err != nil {
			return m, errors.Wrapf(err, "secret %s", f.Secret)
		}
	}

	return m, nil
}

// minSecretBytes is the minimum length of a shared key.
const minSecretBytes = 16

func parseSecrets(text string) ([]string, error) {
	var list []string
	for line := range strings.Lines(text) {
		if line = strings.TrimSpace(line); line == "" {
			continue
		}
		if len(line) < minSecretBytes {
			return nil, errors.Wrapf(ErrInvalidFiles, "a key has %d bytes, want at least %d", len(line), minSecretBytes)
		}
		list = append(list, line)
	}
	if len(list) == 0 {
		return nil, errors.Wrap(ErrInvalidFiles, "is empty, want one shared key a line")
	}

	return list, nil
}

func statFiles(f Files) map[string]fileStat {
	list := make(map[string]fileStat)
	for _, path := range []string{f.Cert, f.Key, f.CA, f.Secret} {
		if info, err := os.Stat(path); path != "" && err == nil {
			list[path] = fileStat{info.Size(), info.ModTime()}
		}
	}

	return list
}

// changed reports whether a file has changed since m was loaded. It ignores files that are missing for
// now.
func (m keyMaterial) changed(f Files) bool {
	for path, s := range statFiles(f) {
		if m.stats[path] != s {
			return true
		}
	}

	return false
}
