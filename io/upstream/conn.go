package upstream

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"jacinthferry/core/clock"
	"jacinthferry/core/reason"
	"jacinthferry/io/rpc"
	"jacinthferry/io/socket"
)

// Errors of connections.
var (
	// ErrClosed is returned once the client is closed.
	ErrClosed = errors.New("upstream: client closed")
	// ErrStale is returned instead of writing a non-idempotent request to a connection that showed no
	// sign of life of late, or any leg too long after it was decided on: the process may have stood
	// still in between, and another daemon may be the home by now.
	ErrStale = errors.New("upstream: connection or decision too old")
)

// conn is a connection that is counted and timed.
type conn struct {
	net.Conn
	connections *connections
	// heard is when bytes last came, and began when the outstanding request was sent, or 0, both in
	// milliseconds since the client was made.
	heard atomic.Int64
	began atomic.Int64
	// guard makes the next write fail.
	guard atomic.Bool
	wrote atomic.Bool
	once  sync.Once

	mu      sync.Mutex
	process string
	why     reason.Code
	closed  bool
}

func (c *conn) now() int64 { return c.connections.since(c.connections.options.Now()) }

// begin notes that a leg decided on at an instant goes out. A careful one is only written to a
// connection that was heard of late.
func (c *conn) begin(decided clock.Milli, careful bool) {
	now := c.now()
	c.wrote.Store(false)
	c.began.Store(max(1, c.connections.since(decided)))
	c.guard.Store(careful && clock.Milli(now-c.heard.Load()) > c.connections.options.Fresh)
}

// late reports whether the first byte of a leg would go out too long after the decision.
func (c *conn) late() bool {
	began := c.began.Load()

	return began != 0 && !c.wrote.Load() && clock.Milli(c.now()-began) > c.connections.options.Margin
}

// end notes that the request has ended, and which process answered.
func (c *conn) end(incarnation string) {
	c.began.Store(0)
	if incarnation == "" {
		return
	}
	c.mu.Lock()
	c.process = incarnation
	c.mu.Unlock()
}

// incarnation returns the process that answered on the connection, or "".
func (c *conn) incarnation() string {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.process
}

// reason returns why the connection was retired, or "".
func (c *conn) reason() reason.Code {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.why
}

// silence returns for how long a request has been outstanding without a byte.
func (c *conn) silence(now clock.Milli) clock.Milli {
	began := c.began.Load()
	if began == 0 {
		return 0
	}

	return clock.Milli(c.connections.since(now) - max(began, c.heard.Load()))
}

// retire closes the connection for a reason.
func (c *conn) retire(why reason.Code) {
	c.mu.Lock()
	known := c.closed
	c.why = why
	c.mu.Unlock()
	if known {
		return
	}
	_ = c.Close()
	c.connections.options.Broken(why)
}

// Read is part of net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.heard.Store(c.now())
	}
	if err != nil {
		c.failed()
	}

	return n, err //nolint:wrapcheck // The transport compares the error.
}

// failed reports a connection that broke without having been closed here.
func (c *conn) failed() {
	c.mu.Lock()
	known := c.closed || c.why != ""
	if !known {
		c.why = reason.Connection
	}
	c.mu.Unlock()
	if !known {
		c.connections.options.Broken(reason.Connection)
	}
}

// Write is part of net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if c.guard.Load() || c.late() {
		return 0, ErrStale
	}
	c.wrote.Store(true)

	return c.Conn.Write(b) //nolint:wrapcheck // The transport compares the error.
}

// Close is part of net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	err := c.Conn.Close()
	c.once.Do(func() { c.connections.forget(c) })

	return err //nolint:wrapcheck // The transport compares the error.
}

// alive reports whether an idle connection was not closed by the other end.
func (c *conn) alive() bool {
	raw := c.Conn
	if secured, ok := raw.(*tls.Conn); ok {
		raw = secured.NetConn()
	}

	return socket.Reusable(raw)
}

// spare is how many connections a home may open beside one for each slot: for reports, for cancels
// and for probes.
const spare = 3

// homes is how many daemons may have connections to an upstream at once while its home changes.
const homes = 2

// connections holds the open connections to one upstream, those in use and those opened ahead.
type connections struct {
	address string
	options Options
	limit   int
	start   clock.Milli
	ready   chan *conn
	probing atomic.Bool

	mu     sync.Mutex
	open   map[*conn]struct{}
	dials  int
	closed bool
}

func newConnections(address string, o Options) *connections {
	limit := o.Slots + spare
	if o.Connections > 0 {
		limit = max(1, min(limit, o.Connections/homes))
	}

	return &connections{
		address: address, options: o, limit: limit, start: o.Now(), ready: make(chan *conn, limit),
		open: make(map[*conn]struct{}),
	}
}

func (p *connections) since(now clock.Milli) int64 { return int64(now - p.start) }

// dialContext returns a connection that was opened ahead, or opens one.
func (p *connections) dialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	for {
		select {
		case c := <-p.ready:
			if !c.alive() {
				_ = c.Close()

				continue
			}

			return c, nil
		default:
		}
		if p.reserve() {
			return p.dial(ctx)
		}
		select {
		case c := <-p.ready:
			return c, nil
		case <-ctx.Done():
			return nil, errors.WithStack(ctx.Err())
		case <-time.After(dialAgain):
		}
	}
}

// dialAgain is the time between two looks for a free connection, and dialTimeout bounds the opening
// of one.
const (
	dialAgain   = 5 * time.Millisecond
	dialTimeout = 2 * time.Second
)

// reserve takes room for one more connection, if there is some.
func (p *connections) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.open)+p.dials >= p.limit {
		return false
	}
	p.dials++

	return true
}

// dial opens a connection for which there is room.
func (p *connections) dial(ctx context.Context) (*conn, error) {
	raw, err := rpc.Dialer(p.options.Edge)(ctx, "tcp", p.address)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dials--
	if err != nil {
		return nil, errors.Wrap(err, "upstream: cannot connect")
	}
	if p.closed {
		_ = raw.Close()

		return nil, ErrClosed
	}
	c := &conn{Conn: raw, connections: p}
	c.heard.Store(c.now())
	p.open[c] = struct{}{}

	return c, nil
}

// prepare opens a connection for each slot.
func (p *connections) prepare() {
	for range min(p.options.Slots, p.limit) {
		if !p.reserve() {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		c, err := p.dial(ctx)
		cancel()
		if err != nil {
			return
		}
		p.ready <- c
	}
}

func (p *connections) forget(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
}

// close closes the connections opened ahead; no more are opened.
func (p *connections) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	for {
		select {
		case c := <-p.ready:
			_ = c.Close()
		default:
			return
		}
	}
}

// quiet returns the connections with a request outstanding and no byte for a span.
func (p *connections) quiet(now, span clock.Milli) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*conn
	for c := range p.open {
		if c.silence(now) >= span {
			list = append(list, c)
		}
	}

	return list
}

// busy returns how many connections have a request outstanding.
func (p *connections) busy() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for c := range p.open {
		if c.began.Load() != 0 {
			n++
		}
	}

	return n
}
