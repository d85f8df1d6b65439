package gateway

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/io/socket"
)

const (
	// dialTimeout limits how long opening a connection may take.
	dialTimeout = 500 * clock.Millisecond
	// ackTimeout is how long sent bytes may stay unacknowledged before the connection fails.
	ackTimeout = 1500 * clock.Millisecond
	// readBufferSize is the size of a connection's read buffer in bytes.
	readBufferSize = 2 << 10
)

// pool holds idle connections to upstreams. It is safe for concurrent use.
//
// A connection carries each request once at most. An upstream may send a second copy of a response, late, where that to
// a later request is due, and only the ID tells them apart.
type pool struct {
	dialer *net.Dialer
	memory *responseMemory
	mu     sync.Mutex
	idle   map[catalog.Key][]*conn
}

func newPool(memory *responseMemory) *pool {
	return &pool{
		dialer: socket.NewDialer(dialTimeout, ackTimeout), memory: memory, idle: make(map[catalog.Key][]*conn),
	}
}

// take removes and returns a usable idle connection to the upstream that has not carried the request with the given ID,
// or returns nil. It closes unusable ones on the way. If all others have carried the request, it closes one of them, in
// whose place a new one may be opened.
func (p *pool) take(now clock.Milli, key catalog.Key, id string) *conn {
	hash := hashID(id)
	for {
		c := p.pop(key, hash)
		switch {
		case c == nil:
			return nil
		case c.hasCarried(hash):
			_ = c.Close()

			return nil
		case c.usable(now):
			return c
		}
		_ = c.Close()
	}
}

// pop removes and returns the latest idle connection that has not carried a request or, if there is none, the latest of
// all. It returns nil if none is idle.
func (p *pool) pop(key catalog.Key, hash requestHash) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	if len(list) == 0 {
		return nil
	}
	chosen := len(list) - 1
	for i := chosen; i >= 0; i-- {
		if !list[i].hasCarried(hash) {
			chosen = i

			break
		}
	}
	c := list[chosen]
	p.idle[key] = slices.Delete(list, chosen, chosen+1)

	return c
}

// put returns a connection to the pool.
func (p *pool) put(key catalog.Key, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[key] = append(p.idle[key], c)
}

// dial opens a connection to an upstream, outside the pool.
func (p *pool) dial(ctx context.Context, now clock.Milli, u *catalog.Upstream) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", u.Address)
	if err != nil {
		return nil, errors.Wrap(err, "gateway: cannot connect")
	}

	metered := &meteredConn{Conn: raw, memory: p.memory}

	return &conn{
		meteredConn: metered, reader: bufio.NewReaderSize(metered, readBufferSize), expires: now + idleTimeout,
	}, nil
}

// prune closes expired connections and those to upstreams that are no longer known.
func (p *pool) prune(now clock.Milli, known func(catalog.Key) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now < c.expires && known(key) {
				kept = append(kept, c)

				continue
			}
			_ = c.Close()
		}
		if p.idle[key] = kept; len(kept) == 0 {
			delete(p.idle, key)
		}
	}
}
