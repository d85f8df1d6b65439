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
	// ErrClosed is returned once the pool is closed.
	ErrClosed = errors.New("upstream: pool is closed")
	// ErrStale is returned instead of writing a non-idempotent request to a connection on which no
	// bytes arrived recently, or any leg too long after the decision to send it: the process may have
	// been paused in between, and another daemon may be the home by now.
	ErrStale = errors.New("upstream: too long since the connection's last read or the decision to send")
)

// conn is a connection that is counted and whose reads and requests are timed.
type conn struct {
	net.Conn
	set *connectionSet
	// lastRead is when bytes last arrived. requestStart is when the outstanding request was decided on,
	// or 0 if there is none. Both are in milliseconds since the pool was created.
	lastRead     atomic.Int64
	requestStart atomic.Int64
	// refuseWrite makes the next write fail.
	refuseWrite atomic.Bool
	wrote       atomic.Bool
	// namesCalls is set once a response on the connection has named the call that it belongs to.
	namesCalls atomic.Bool
	removeOnce sync.Once

	mu                 sync.Mutex
	processIncarnation string
	retireReason       reason.Code
	closed             bool
}

func (c *conn) now() int64 { return c.set.sinceStart(c.set.options.Now()) }

// beginRequest records that a leg is sent, and when that was decided. With checkFresh, the leg is only
// written if bytes arrived on the connection recently.
func (c *conn) beginRequest(decided clock.Milli, checkFresh bool) {
	now := c.now()
	c.wrote.Store(false)
	c.requestStart.Store(max(1, c.set.sinceStart(decided)))
	c.refuseWrite.Store(checkFresh && clock.Milli(now-c.lastRead.Load()) > c.set.options.MaxIdleForSubmit)
}

// tooLate reports whether the first byte of a leg would be written too long after the decision.
func (c *conn) tooLate() bool {
	requestStart := c.requestStart.Load()

	return requestStart != 0 && !c.wrote.Load() && clock.Milli(c.now()-requestStart) > c.set.options.OverrunMargin
}

// endRequest records that the request has ended, and which process answered.
func (c *conn) endRequest(incarnation string) {
	c.requestStart.Store(0)
	if incarnation == "" {
		return
	}
	c.mu.Lock()
	c.processIncarnation = incarnation
	c.mu.Unlock()
}

// incarnation returns the incarnation of the process that answered on the connection, or "".
func (c *conn) incarnation() string {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.processIncarnation
}

// retiredFor returns why the connection was retired or broke, or "".
func (c *conn) retiredFor() reason.Code {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.retireReason
}

// silentTime returns for how long a request has been outstanding without a byte read.
func (c *conn) silentTime(now clock.Milli) clock.Milli {
	requestStart := c.requestStart.Load()
	if requestStart == 0 {
		return 0
	}

	return clock.Milli(c.set.sinceStart(now) - max(requestStart, c.lastRead.Load()))
}

// retire closes the connection for a reason.
func (c *conn) retire(code reason.Code) {
	c.mu.Lock()
	alreadyClosed := c.closed
	c.retireReason = code
	c.mu.Unlock()
	if alreadyClosed {
		return
	}
	_ = c.Close()
	c.set.options.OnConnectionFailure(code)
}

// Read is part of net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastRead.Store(c.now())
	}
	if err != nil {
		c.reportFailure()
	}

	return n, err //nolint:wrapcheck // The transport compares the error.
}

// reportFailure reports a connection that broke, unless it was closed or reported before.
func (c *conn) reportFailure() {
	c.mu.Lock()
	alreadyClosed := c.closed || c.retireReason != ""
	if !alreadyClosed {
		c.retireReason = reason.Connection
	}
	c.mu.Unlock()
	if !alreadyClosed {
		c.set.options.OnConnectionFailure(reason.Connection)
	}
}

// Write is part of net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if c.refuseWrite.Load() || c.tooLate() {
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
	c.removeOnce.Do(func() { c.set.remove(c) })

	return err //nolint:wrapcheck // The transport compares the error.
}

// reusable reports whether an idle connection is still open at the other end.
func (c *conn) reusable() bool {
	raw := c.Conn
	if secured, ok := raw.(*tls.Conn); ok {
		raw = secured.NetConn()
	}

	return socket.Reusable(raw)
}

// extraConnections is how many connections a home may open in addition to one for each slot: for
// reports, cancels and probes.
const extraConnections = 3

// maxHomes is how many daemons may have connections to an upstream at once while its home changes.
const maxHomes = 2

// connectionSet holds the open connections to one upstream, both those in use and those opened in
// advance.
type connectionSet struct {
	address   string
	options   Options
	limit     int
	start     clock.Milli
	preopened chan *conn
	probing   atomic.Bool

	mu       sync.Mutex
	open     map[*conn]struct{}
	dialling int
	closed   bool
}

func newConnectionSet(address string, o Options) *connectionSet {
	limit := o.Slots + extraConnections
	if o.MaxConnections > 0 {
		limit = max(1, min(limit, o.MaxConnections/maxHomes))
	}

	return &connectionSet{
		address: address, options: o, limit: limit, start: o.Now(), preopened: make(chan *conn, limit),
		open: make(map[*conn]struct{}),
	}
}

func (s *connectionSet) sinceStart(now clock.Milli) int64 { return int64(now - s.start) }

// dialContext returns a connection that was opened in advance, or opens one. At the limit, it waits.
func (s *connectionSet) dialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	for {
		select {
		case c := <-s.preopened:
			if !c.reusable() {
				_ = c.Close()

				continue
			}

			return c, nil
		default:
		}
		if s.reserve() {
			return s.dial(ctx)
		}
		select {
		case c := <-s.preopened:
			return c, nil
		case <-ctx.Done():
			return nil, errors.WithStack(ctx.Err())
		case <-time.After(retryInterval):
		}
	}
}

// retryInterval is the time between two attempts to get a connection at the limit, and dialTimeout
// bounds the opening of one in advance.
const (
	retryInterval = 5 * time.Millisecond
	dialTimeout   = 2 * time.Second
)

// reserve reserves room for one more connection. It returns false at the limit.
func (s *connectionSet) reserve() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.open)+s.dialling >= s.limit {
		return false
	}
	s.dialling++

	return true
}

// dial opens a connection for which room is reserved.
func (s *connectionSet) dial(ctx context.Context) (*conn, error) {
	raw, err := rpc.DialContext(s.options.Credentials)(ctx, "tcp", s.address)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dialling--
	if err != nil {
		return nil, errors.Wrap(err, "upstream: cannot connect")
	}
	if s.closed {
		_ = raw.Close()

		return nil, ErrClosed
	}
	c := &conn{Conn: raw, set: s}
	c.lastRead.Store(c.now())
	s.open[c] = struct{}{}

	return c, nil
}

// openAhead opens a connection for each slot, within the limit.
func (s *connectionSet) openAhead() {
	for range min(s.options.Slots, s.limit) {
		if !s.reserve() {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		c, err := s.dial(ctx)
		cancel()
		if err != nil {
			return
		}
		s.preopened <- c
	}
}

func (s *connectionSet) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// close closes the connections opened in advance and prevents new ones.
func (s *connectionSet) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for {
		select {
		case c := <-s.preopened:
			_ = c.Close()
		default:
			return
		}
	}
}

// silentFor returns the connections with a request outstanding and no byte read for at least minimum.
func (s *connectionSet) silentFor(now, minimum clock.Milli) []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*conn
	for c := range s.open {
		if c.silentTime(now) >= minimum {
			list = append(list, c)
		}
	}

	return list
}

// outstanding returns how many connections have a request outstanding.
func (s *connectionSet) outstanding() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.open {
		if c.requestStart.Load() != 0 {
			n++
		}
	}

	return n
}
