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
	links    map[*link]bool
	closed   bool
}

// link is one connection that is passed on.
type link struct {
	near, far net.Conn
	silent    bool
}

// New returns a proxy on an address of its own.
func New(ctx context.Context, target string) (*Proxy, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "proxy: cannot listen")
	}
	p := &Proxy{listener: listener, target: target, links: make(map[*link]bool)}
	go p.accept()

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
	for l := range p.links {
		l.silent = true
	}
}

// Reset resets the connections that are open now.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
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

func (l *link) reset() {
	for _, c := range []net.Conn{l.near, l.far} {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *Proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.open(near)
	}
}

// dialTimeout bounds the opening of a connection to the target.
const dialTimeout = time.Second

func (p *Proxy) open(near net.Conn) {
	p.mu.Lock()
	target, refuse := p.target, p.mode.Refuse
	p.mu.Unlock()
	var far net.Conn
	var err error
	if !refuse {
		far, err = (&net.Dialer{Timeout: dialTimeout}).DialContext(context.Background(), "tcp", target)
	}
	l := &link{near: near, far: far}
	if refuse || err != nil {
		l.far = near
		l.reset()

		return
	}
	p.mu.Lock()
	p.links[l] = true
	if p.closed {
		l.reset()
	}
	p.mu.Unlock()
	done := make(chan struct{}, 1)
	go func() {
		p.pass(l, near, far, true)
		done <- struct{}{}
	}()
	p.pass(l, far, near, false)
	<-done
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// pieceSize is how many bytes are passed on at once at most.
const pieceSize = 16 << 10

// pass copies one direction until it ends, and then ends both.
func (p *Proxy) pass(l *link, from, to net.Conn, request bool) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
	}()
	buffer := make([]byte, pieceSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.hold(l, request) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			// A connection that carries nothing any more does not show its end either.
			p.linger(l, request)

			return
		}
	}
}

// hold delays a piece, or reports that it is dropped.
func (p *Proxy) hold(l *link, request bool) bool {
	p.mu.Lock()
	drops, delay := p.drops(l, request), p.mode.Delay
	p.mu.Unlock()
	if !drops && delay > 0 {
		time.Sleep(delay.Duration())
	}

	return drops
}

// drops reports whether a direction of a connection carries nothing now.
func (p *Proxy) drops(l *link, request bool) bool {
	if request {
		return l.silent || p.mode.NoRequests
	}

	return l.silent || p.mode.NoAnswers
}

// lingerTimeout is for how long the end of a connection that carries nothing is kept from its other
// end at most.
const lingerTimeout = 5 * time.Second

// linger returns when bytes pass again, or after a while.
func (p *Proxy) linger(l *link, request bool) {
	for end := time.Now().Add(lingerTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		p.mu.Lock()
		over := p.closed || !p.drops(l, request)
		p.mu.Unlock()
		if over {
			return
		}
	}
}
