// Package proxy forwards TCP connections over the loopback interface and injects network faults:
// delays, resets, black holes and one-way packet loss.
package proxy

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jacinthferry/core/clock"
)

// Mode describes how a proxy treats new connections and the bytes that it reads from now on. The
// zero value forwards everything at once.
type Mode struct {
	// Delay is added to the delivery of each chunk.
	Delay clock.Milli
	// These drop the bytes from callers and to callers, respectively, also on new connections.
	DropRequests, DropResponses bool
	// Refuse resets new connections.
	Refuse bool
}

// Proxy listens on one address and forwards connections to one target. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	mu       sync.Mutex
	target   string
	mode     Mode
	pairs    map[*connPair]bool
	closed   bool
}

// connPair is a connection from a client and the matching connection to the target.
type connPair struct {
	client, server net.Conn
	blackholed     bool
}

// New returns a running proxy on a loopback port that the system chooses.
func New(ctx context.Context, target string) (*Proxy, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "proxy: cannot listen")
	}
	p := &Proxy{listener: listener, target: target, pairs: make(map[*connPair]bool)}
	go p.serve()

	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetTarget sets the target of new connections. Open connections keep theirs.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// SetMode replaces the mode.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

// Blackhole drops all further bytes of the connections that are open now, without closing them. New
// connections are not affected.
func (p *Proxy) Blackhole() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pair := range p.pairs {
		pair.blackholed = true
	}
}

// ResetConnections resets the connections that are open now.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.pairs {
		l.reset()
	}
}

// Close closes the listener and resets all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.ResetConnections()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}

func (p *connPair) reset() {
	for _, c := range []net.Conn{p.client, p.server} {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *Proxy) serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.handle(client)
	}
}

// dialTimeout limits the time to connect to the target.
const dialTimeout = time.Second

func (p *Proxy) handle(client net.Conn) {
	p.mu.Lock()
	target, refuse := p.target, p.mode.Refuse
	p.mu.Unlock()
	var server net.Conn
	var err error
	if !refuse {
		server, err = (&net.Dialer{Timeout: dialTimeout}).DialContext(context.Background(), "tcp", target)
	}
	pair := &connPair{client: client, server: server}
	if refuse || err != nil {
		pair.server = client
		pair.reset()

		return
	}
	p.mu.Lock()
	p.pairs[pair] = true
	if p.closed {
		pair.reset()
	}
	p.mu.Unlock()
	done := make(chan struct{}, 1)
	go func() {
		p.forward(pair, client, server, true)
		done <- struct{}{}
	}()
	p.forward(pair, server, client, false)
	<-done
	p.mu.Lock()
	delete(p.pairs, pair)
	p.mu.Unlock()
}

// bufferSize is the maximum number of bytes forwarded at once.
const bufferSize = 16 << 10

// forward copies one direction until it ends, and then closes both connections.
func (p *Proxy) forward(pair *connPair, from, to net.Conn, toServer bool) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
	}()
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.delayOrDrop(pair, toServer) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			// While bytes are dropped, the end of the connection must not be visible either.
			p.delayClose(pair, toServer)

			return
		}
	}
}

// delayOrDrop sleeps for the configured delay, or reports that the chunk is dropped.
func (p *Proxy) delayOrDrop(pair *connPair, toServer bool) bool {
	p.mu.Lock()
	drops, delay := p.drops(pair, toServer), p.mode.Delay
	p.mu.Unlock()
	if !drops && delay > 0 {
		time.Sleep(delay.Duration())
	}

	return drops
}

// drops reports whether bytes of one direction are dropped at present. The mutex must be held.
func (p *Proxy) drops(pair *connPair, toServer bool) bool {
	if toServer {
		return pair.blackholed || p.mode.DropRequests
	}

	return pair.blackholed || p.mode.DropResponses
}

// maxCloseDelay limits how long the end of a connection is withheld from the peer while bytes are dropped.
const maxCloseDelay = 5 * time.Second

// delayClose returns once bytes are forwarded again or the proxy is closed, at the latest after
// maxCloseDelay.
func (p *Proxy) delayClose(pair *connPair, toServer bool) {
	for end := time.Now().Add(maxCloseDelay); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		p.mu.Lock()
		done := p.closed || !p.drops(pair, toServer)
		p.mu.Unlock()
		if done {
			return
		}
	}
}
