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

// Limits and timeouts of every HTTP server and client. The longest request takes readTimeout;
// a server's writeTimeout and a client's responseTimeout lie beyond it.
const (
	headerLimit     = 16 << 10
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

// Listen opens the address and serves handler on it in cleartext until Close or Shutdown.
func Listen(address string, handler http.Handler) (*Server, error) {
	return ListenSecurely(address, handler, nil)
}

// ListenSecurely opens the address and serves handler on it until Close or Shutdown, in TLS where
// edge has a certificate.
func ListenSecurely(address string, handler http.Handler, edge *secure.Credentials) (*Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "rpc: cannot listen on %s", address)
	}
	s := &Server{listener: listener, server: &http.Server{
		Handler:           handler,
		Protocols:         protocols(),
		TLSConfig:         edge.ServerConfig(),
		MaxHeaderBytes:    headerLimit,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          slog.NewLogLogger(&complaints{edge}, slog.LevelWarn),
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

// Shutdown stops accepting and waits for running requests until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.Wrap(s.server.Shutdown(ctx), "rpc: requests cut")
}

// Close stops the server at once.
func (s *Server) Close() error { return errors.Wrap(s.server.Close(), "rpc: close") }

func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)

	return p
}

// Client returns an HTTP client in cleartext that opens at most connections to each host; 0 sets
// no limit.
func Client(connections int) *http.Client { return SecureClient(connections, nil) }

// SecureClient returns an HTTP client that opens at most connections to each host, in TLS where
// edge asks for it, and sends edge's shared key. URLs given to it begin with "http" all the same:
// the settings of the edge alone decide, so that no address can lead it into cleartext.
func SecureClient(connections int, edge *secure.Credentials) *http.Client {
	transport := &http.Transport{
		DialContext:            dialer(edge),
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    max(connections, 8),
		IdleConnTimeout:        idleTimeout,
		ResponseHeaderTimeout:  responseTimeout,
		MaxResponseHeaderBytes: headerLimit,
	}

	c := &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	c.Transport = Bearing(edge, transport)

	return c
}

func dialer(edge *secure.Credentials) func(ctx context.Context, network, address string) (net.Conn, error) {
	plain := &net.Dialer{Timeout: dialTimeout}

	return func(ctx context.Context, network, address string) (net.Conn, error) {
		config := edge.ClientConfig()
		if config == nil {
			return plain.DialContext(ctx, network, address)
		}

		return (&tls.Dialer{NetDialer: plain, Config: config}).DialContext(ctx, network, address)
	}
}

// Dialer returns the function that opens connections as edge asks for.
func Dialer(edge *secure.Credentials) func(ctx context.Context, network, address string) (net.Conn, error) {
	return dialer(edge)
}

// Bearing returns a transport that sends edge's shared key with every request.
func Bearing(edge *secure.Credentials, transport *http.Transport) http.RoundTripper {
	if edge.Secret() == "" {
		return transport
	}

	return &bearer{edge, transport}
}
