package rpc

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"jacinthferry/io/secure"
)

// MaxHeaderBytes is the size of the largest header that a server or client reads, in bytes.
const MaxHeaderBytes = 16 << 10

// Timeouts of every HTTP server and client. No request takes longer than
// readTimeout; a server's writeTimeout and a client's responseTimeout are longer.
const (
	headerTimeout   = 5 * time.Second
	readTimeout     = 60 * time.Second
	writeTimeout    = 75 * time.Second
	responseTimeout = 75 * time.Second
	idleTimeout     = 2 * time.Minute
	dialTimeout     = 2 * time.Second
)

// Server is an HTTP server on one listener. It speaks HTTP/1.1 and HTTP/2, in cleartext or TLS.
type Server struct {
	listener net.Listener
	server   *http.Server
}

// Listen listens on address and serves handler in cleartext until Close or Shutdown.
func Listen(address string, handler http.Handler) (*Server, error) {
	return ListenWithCredentials(address, handler, nil)
}

// ListenWithCredentials listens on address and serves handler until Close or Shutdown, over TLS if creds
// have a certificate.
func ListenWithCredentials(address string, handler http.Handler, creds *secure.Credentials) (*Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "rpc: cannot listen on %s", address)
	}
	s := &Server{listener: listener, server: &http.Server{
		Handler:           handler,
		Protocols:         protocols(),
		TLSConfig:         creds.ServerConfig(),
		MaxHeaderBytes:    MaxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          slog.NewLogLogger(&errorLogHandler{creds}, slog.LevelWarn),
	}}
	if s.server.TLSConfig != nil {
		go func() { _ = s.server.ServeTLS(listener, "", "") }()
	} else {
		go func() { _ = s.server.Serve(listener) }()
	}

	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Shutdown stops accepting connections and waits for running requests until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.Wrap(s.server.Shutdown(ctx), "rpc: shutdown before all requests ended")
}

// Close stops the server at once and closes all connections.
func (s *Server) Close() error { return errors.Wrap(s.server.Close(), "rpc: cannot close server") }

func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)

	return p
}

// NewClient returns a cleartext HTTP client that opens at most the given number of connections to
// each host; 0 means no limit.
func NewClient(connections int) *http.Client { return NewClientWithCredentials(connections, nil) }

// NewClientWithCredentials returns an HTTP client that opens at most the given number of connections to each
// host, over TLS if creds configure it, and sends their shared key. Its URLs always have the
// scheme "http": creds alone decide on TLS, so that no address can make the client use cleartext.
func NewClientWithCredentials(connections int, creds *secure.Credentials) *http.Client {
	transport := &http.Transport{
		DialContext:            dialer(creds),
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    max(connections, 8),
		IdleConnTimeout:        idleTimeout,
		ResponseHeaderTimeout:  responseTimeout,
		MaxResponseHeaderBytes: MaxHeaderBytes,
	}

	return &http.Client{
		Transport:     CheckStatus(WithSecret(creds, transport)),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func dialer(creds *secure.Credentials) func(ctx context.Context, network, address string) (net.Conn, error) {
	plain := &net.Dialer{Timeout: dialTimeout}

	return func(ctx context.Context, network, address string) (net.Conn, error) {
		config := creds.ClientConfig()
		if config == nil {
			return plain.DialContext(ctx, network, address)
		}

		return (&tls.Dialer{NetDialer: plain, Config: config}).DialContext(ctx, network, address)
	}
}

// DialContext returns a function that opens connections, over TLS if creds configure it.
func DialContext(creds *secure.Credentials) func(ctx context.Context, network, address string) (net.Conn, error) {
	return dialer(creds)
}

// WithSecret returns a transport that sends the shared key of creds, if it has one, with every request.
func WithSecret(creds *secure.Credentials, transport *http.Transport) http.RoundTripper {
	if creds.Secret() == "" {
		return transport
	}

	return &bearerTransport{creds, transport}
}
