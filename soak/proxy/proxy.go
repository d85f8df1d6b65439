// Package proxy passes TCP connections on over loopback and does wrong on command: it delays, resets
// and silences them, and cuts them one way.
package proxy

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jacinthferry/core/clock"
)

// Mode is what a proxy does with the bytes that come from now on.
type Mode struct {
	// Delay is how much later each piece arrives.
	Delay clock.Milli
	// NoRequests drops what callers send, and NoAnswers what comes back. Both also hold for new
	// connections.
	NoRequests, NoAnswers bool
	// Refuse resets new connections.
	Refuse bool
}

// Proxy is one listener in front of one target. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	mu       sync.Mutex
	target   string
	mode     Mode
	pairs    map[*connPair]bool
	closed   bool
}

// connPair is one connection that is passed on.
type connPair struct {
	client, server net.Conn
	blackholed     bool
}

// New returns a proxy on an address of its own.
func New(ctx context.Context, target string) (*Proxy, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "proxy: cannot listen")
	}
	p := &Proxy{listener: listener, target: target, pairs: make(map[*connPair]bool)}
	go p.serve()

	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Retarget makes new connections go elsewhere.
func (p *Proxy) Retarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// Set changes what happens to bytes and new connections.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

// Silence drops all further bytes of the connections that are open now. They stay open.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pair := range p.pairs {
		pair.blackholed = true
	}
}

// Reset resets the connections that are open now.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.pairs {
		l.reset()
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
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

// dialTimeout bounds the opening of a connection to the target.
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

// bufferSize is how many bytes are passed on at once at most.
const bufferSize = 16 << 10

// forward copies one direction until it ends, and then ends both.
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
			// A connection that carries nothing any more does not show its end either.
			p.delayClose(pair, toServer)

			return
		}
	}
}

// delayOrDrop delays a piece, or reports that it is dropped.
func (p *Proxy) delayOrDrop(pair *connPair, toServer bool) bool {
	p.mu.Lock()
	drops, delay := p.drops(pair, toServer), p.mode.Delay
	p.mu.Unlock()
	if !drops && delay > 0 {
		time.Sleep(delay.Duration())
	}

	return drops
}

// drops reports whether a direction of a connection carries nothing now.
func (p *Proxy) drops(pair *connPair, toServer bool) bool {
	if toServer {
		return pair.blackholed || p.mode.NoRequests
	}

	return pair.blackholed || p.mode.NoAnswers
}

// maxCloseDelay is for how long the end of a connection that carries nothing is kept from its other
// end at most.
const maxCloseDelay = 5 * time.Second

// delayClose returns when bytes pass again, or after a while.
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
