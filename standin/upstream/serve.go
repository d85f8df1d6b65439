package upstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"jacinthferry/core/clock"
	"jacinthferry/io/upstream"

	"github.com/pkg/errors"
)

// headerTimeout limits how long a request's header may take to arrive.
const headerTimeout = 5 * time.Second

// Server serves one Upstream over HTTP.
type Server struct {
	listener net.Listener
	server   *http.Server
	upstream *Upstream
}

// Listen serves the upstream at address, over HTTP/1.1 and unencrypted HTTP/2, until Server.Close.
func (u *Upstream) Listen(address string) (*Server, error) {
	tcp, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "upstream: cannot listen on %s", address)
	}
	u.connections.limit, u.connections.connectDelay, u.connections.now =
		u.options.MaxConnections, u.options.ConnectDelay, u.now
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &Server{listener: tcp, upstream: u, server: &http.Server{
		Handler: upstream.Handler(u.Operations()), Protocols: protocols, ReadHeaderTimeout: headerTimeout,
	}}
	go func() { _ = s.server.Serve(&listener{tcp, &u.connections}) }()

	return s, nil
}

// Address returns the address of the listener, with the port that the system chose if it was 0.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close closes the listener and all connections at once.
func (s *Server) Close() error {
	err := s.server.Close()
	s.upstream.connections.closeAll(s.upstream.now() + clock.Hour)

	return errors.Wrap(err, "upstream: cannot close server")
}

// connectionSet holds the open connections of one Upstream, and limits them.
type connectionSet struct {
	limit        int
	connectDelay clock.Milli
	now          func() clock.Milli

	mu           sync.Mutex
	active       map[*connection]bool
	refusedUntil clock.Milli
	excess       int
	blackholed   int
}

// counts returns how many connections are open, were closed as above the limit, and were blackholed.
func (c *connectionSet) counts() (open, excess, blackholed int) {
	c.mu.Lock()
	defer c.mu.Unlock()

	return len(c.active), c.excess, c.blackholed
}

// add adds a new connection. It returns nil if the caller must close it: while connections are refused
// or above the limit.
func (c *connectionSet) add(n net.Conn) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if now < c.refusedUntil {
		return nil
	}
	if c.limit > 0 && len(c.active) >= c.limit {
		c.excess++

		return nil
	}
	added := &connection{Conn: n, set: c, usableAt: now + c.connectDelay}
	if c.active == nil {
		c.active = make(map[*connection]bool)
	}
	c.active[added] = true

	return added
}

func (c *connectionSet) remove(closed *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.active, closed)
}

// setRefusedUntil sets the time until which new connections are refused.
func (c *connectionSet) setRefusedUntil(until clock.Milli) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusedUntil = until
}

// closeAll closes all connections and refuses new ones until the given time.
func (c *connectionSet) closeAll(until clock.Milli) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusedUntil = until
	for n := range c.active {
		_ = n.Conn.Close()
	}
	c.active = nil
}

// blackhole makes all open connections drop data.
func (c *connectionSet) blackhole() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := range c.active {
		if n.blackholed.CompareAndSwap(false, true) {
			c.blackholed++
		}
	}
}

// listener accepts connections as far as its set allows.
type listener struct {
	net.Listener
	connections *connectionSet
}

// Accept returns the next connection that the set allows. It closes the others.
func (l *listener) Accept() (net.Conn, error) {
	for {
		n, err := l.Listener.Accept()
		if err != nil {
			return nil, errors.Wrap(err, "upstream: cannot accept connection")
		}
		if c := l.connections.add(n); c != nil {
			return c, nil
		}
		_ = n.Close()
	}
}

// connection is an open connection that can be blackholed: it then drops data in both directions, and
// only the peer can close it.
type connection struct {
	net.Conn
	set        *connectionSet
	usableAt   clock.Milli
	blackholed atomic.Bool
}

// Read reads into b after the connect delay. It discards what arrives while the connection is blackholed.
func (c *connection) Read(b []byte) (int, error) {
	if remaining := c.usableAt - c.set.now(); remaining > 0 {
		time.Sleep(remaining.Duration())
	}
	for {
		n, err := c.Conn.Read(b)
		if !c.blackholed.Load() {
			return n, err
		}
		if err != nil && !isTimeout(err) {
			_ = c.closeNow()

			return 0, err
		}
		_ = c.SetReadDeadline(time.Time{})
	}
}

func isTimeout(err error) bool {
	var t net.Error

	return errors.As(err, &t) && t.Timeout()
}

// Write writes b, or drops it if the connection is blackholed.
func (c *connection) Write(b []byte) (int, error) {
	if c.blackholed.Load() {
		return len(b), nil
	}

	return c.Conn.Write(b)
}

// Close closes the connection unless it is blackholed.
func (c *connection) Close() error {
	if c.blackholed.Load() {
		return nil
	}

	return c.closeNow()
}

func (c *connection) closeNow() error {
	c.set.remove(c)

	return errors.Wrap(c.Conn.Close(), "upstream: cannot close connection")
}
