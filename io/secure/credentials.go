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

// ErrStranger is returned if the peer did not authenticate itself.
var ErrStranger = errors.New("secure: the peer is not authenticated")

// Files holds the paths of the files with the credentials. Fields may be empty.
type Files struct {
	// Cert is the PEM file of this side's certificate and its intermediates, and Key that of the private
	// key.
	Cert string
	Key  string
	// Authority is the PEM file of the certificate authorities that must have issued the peer's
	// certificate.
	Authority string
	// Server is the name that a dialler expects in the server's certificate, if it is not the address.
	Server string
	// Secret is the file of the shared keys, one per line. The first key is sent and each is accepted.
	Secret string
}

// usesTLS reports whether the files configure TLS.
func (f Files) usesTLS() bool { return f.Cert != "" || f.Authority != "" || f.Server != "" }

// Edge holds the credentials of one listener or dialler. It is safe for concurrent use. A nil pointer
// means cleartext without authentication.
type Edge struct {
	files  Files
	record func(event.Event)

	mu      sync.Mutex
	loaded  keyMaterial
	checked time.Time
}

// New loads the files. If all paths are empty, it returns nil. The function record, which may be nil,
// gets events about peers that are refused and about files that change.
func New(files Files, record func(event.Event)) (*Edge, error) {
	if files == (Files{}) {
		return nil, nil
	}
	m, err := load(files)
	if err != nil {
		return nil, err
	}

	return &Edge{files: files, record: record, loaded: m, checked: time.Now()}, nil
}

// checkInterval is the time between two checks of the files for changes.
const checkInterval = time.Second

// current returns the content of the files. If changed files cannot be loaded, it returns the content
// that was loaded last.
func (e *Edge) current() keyMaterial {
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

func (e *Edge) emit(v event.Event) {
	if e.record != nil {
		e.record(v)
	}
}

// Server returns the TLS configuration of a listener, or nil for cleartext.
func (e *Edge) Server() *tls.Config {
	if e == nil || e.files.Cert == "" {
		return nil
	}
	c := &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return e.current().certificate, nil
		},
	}
	if e.files.Authority != "" {
		// crypto/tls only requests the certificate. VerifyConnection verifies it, so that a refused client
		// is recorded.
		c.ClientAuth = tls.RequestClientCert
		c.VerifyConnection = e.verifyClient
	}

	return c
}

func (e *Edge) verifyClient(state tls.ConnectionState) error {
	err := verifyClientChain(state.PeerCertificates, e.current().authorities)
	if err != nil {
		e.emit(event.Event{Kind: event.Refusal, Reason: reason.Stranger, Detail: err.Error()})
	}

	return err
}

func verifyClientChain(chain []*x509.Certificate, roots *x509.CertPool) error {
	if len(chain) == 0 {
		return errors.Wrap(ErrStranger, "no client certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots: roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	if err != nil {
		return errors.Wrapf(ErrStranger, "client certificate: %v", err)
	}

	return nil
}

// Client returns the TLS configuration of a dialler, or nil for cleartext. It must be called again for
// each connection, because the files may change.
func (e *Edge) Client() *tls.Config {
	if e == nil || !e.files.usesTLS() {
		return nil
	}
	m := e.current()
	c := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: m.authorities, ServerName: e.files.Server}
	if m.certificate != nil {
		c.Certificates = []tls.Certificate{*m.certificate}
	}

	return c
}

// Secret returns the shared key to send, or "" if there is none.
func (e *Edge) Secret() string {
	if e == nil || e.files.Secret == "" {
		return ""
	}

	return e.current().secrets[0]
}

// Accepts reports whether the peer's shared key is valid. If no keys are configured, every key is.
// Keys are compared in constant time.
func (e *Edge) Accepts(secret string) bool {
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

// Stranger records that a peer was refused because it did not authenticate itself. The receiver must not
// be nil.
func (e *Edge) Stranger(detail string) {
	e.emit(event.Event{Kind: event.Refusal, Reason: reason.Stranger, Detail: detail})
}

// Complain records an error of a connection that has not carried a request. The receiver must not be
// nil.
func (e *Edge) Complain(detail string) {
	e.emit(event.Event{Kind: event.Connection, Reason: reason.Connection, Detail: detail})
}
