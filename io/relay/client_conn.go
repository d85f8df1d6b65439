package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"jacinthferry/core/clock"
	"jacinthferry/core/gather"
	"jacinthferry/core/reason"
	"jacinthferry/io/gateway"
)

const (
	// sendQueueLength is the maximum number of messages that wait to be written.
	sendQueueLength = 64
	// responseGrace is how long after the merge wait of a group its first response may arrive. Without one
	// the remote daemon counts as unresponsive and the connection is closed.
	responseGrace = 60 * clock.Millisecond
	// deadlineGrace is how long after the deadlines of its legs a group may still be unfinished. Then the
	// connection is closed.
	deadlineGrace = 500 * clock.Millisecond
)

// clientConn is a connection to a daemon that sends legs for this one.
type clientConn struct {
	now   func() clock.Milli
	conn  *websocket.Conn
	queue chan message

	mu     sync.Mutex
	lastID uint64
	groups map[uint64]*pendingGroup
	closed bool
	// err is the first reason for closing the connection.
	err error
}

// pendingGroup is a group that was handed over and is not finished.
type pendingGroup struct {
	deliver func(gateway.RelayResponse)
	// pending holds the numbers of the legs without a result.
	pending map[int]bool
	// responded is set by the first response for the group. The group must be finished by deadline.
	responded bool
	deadline  clock.Milli
	timer     *time.Timer
}

func newClientConn(now func() clock.Milli, conn *websocket.Conn) *clientConn {
	conn.SetReadLimit(maxMessageBytes)

	return &clientConn{
		now: now, conn: conn, queue: make(chan message, sendQueueLength), groups: make(map[uint64]*pendingGroup),
	}
}

// run reads and writes messages until the connection closes, and returns the reason for that.
func (c *clientConn) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.write(ctx)
	c.closeWithError(c.read(ctx))

	return c.failPending()
}

// closeWithError closes the WebSocket and keeps the reason if it is the first one. The reader then fails,
// which ends run.
func (c *clientConn) closeWithError(err error) {
	c.mu.Lock()
	if c.err == nil {
		c.err = err
	}
	c.mu.Unlock()
	_ = c.conn.CloseNow()
}

// failPending lets send refuse further groups, fails all pending legs and returns the reason for closing.
// Whether the failed legs have run is not known.
func (c *clientConn) failPending() error {
	c.mu.Lock()
	groups, err := c.groups, c.err
	c.groups, c.closed = nil, true
	c.mu.Unlock()
	for _, g := range groups {
		g.timer.Stop()
		failed := gateway.RelayResponse{}
		for number := range g.pending {
			result := gather.Result{Sent: true, Run: reason.ExecutionUnknown, Reason: reason.Peer}
			failed.Results = append(failed.Results, gateway.RelayResult{Number: number, Result: result})
		}
		g.deliver(failed)
	}

	return err
}

// send queues a group for sending and returns a function that cancels it. It reports false when the
// connection is closed or its queue is full. It does not block.
func (c *clientConn) send(
	call *gateway.Call, group *gather.ZoneGroup, deliver func(gateway.RelayResponse),
) (func(), bool) {
	now := c.now()
	g := &pendingGroup{deliver: deliver, pending: make(map[int]bool, len(group.Legs)), deadline: now}
	for i := range group.Legs {
		g.pending[group.Legs[i].Number] = true
		g.deadline = max(g.deadline, group.Legs[i].Deadline+deadlineGrace)
	}
	firstCheck := g.deadline
	if group.MergeWait > 0 {
		firstCheck = min(firstCheck, now+group.MergeWait+responseGrace)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, false
	}
	c.lastID++
	id := c.lastID
	select {
	case c.queue <- message{Request: newRequest(id, call, group, now)}:
	default:
		return nil, false
	}
	c.groups[id] = g
	g.timer = time.AfterFunc((firstCheck - now).Duration(), func() { c.checkTimeout(id) })

	return func() { c.cancel(id) }, true
}

// checkTimeout closes the connection when a group has had no response yet or is past its deadline.
func (c *clientConn) checkTimeout(id uint64) {
	c.mu.Lock()
	g := c.groups[id]
	if g == nil {
		c.mu.Unlock()

		return
	}
	remaining := g.deadline - c.now()
	if g.responded && remaining > 0 {
		g.timer.Reset(remaining.Duration())
		c.mu.Unlock()

		return
	}
	c.mu.Unlock()
	c.closeWithError(ErrNoResponse)
}

// cancel asks the remote daemon to cancel the pending legs of a group.
func (c *clientConn) cancel(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.groups[id] == nil {
		return
	}
	select {
	case c.queue <- message{Cancel: id}:
	default:
		// The remote daemon reads no messages. Closing the connection cancels what runs there.
		go c.closeWithError(ErrNoResponse)
	}
}

func (c *clientConn) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.queue:
			if err := c.writeMessage(ctx, m); err != nil {
				c.closeWithError(err)

				return
			}
		}
	}
}

func (c *clientConn) writeMessage(ctx context.Context, m message) error {
	data, err := encode(m)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()

	return errors.Wrap(c.conn.Write(ctx, websocket.MessageBinary, data), "relay: cannot write message")
}

// read handles messages until the connection closes, and returns the reason for that.
func (c *clientConn) read(ctx context.Context) error {
	for {
		_, data, err := c.conn.Read(ctx)
		if err != nil {
			return errors.Wrap(err, "relay: cannot read message")
		}
		m, err := decode(data)
		if err != nil {
			return err
		}
		if m.Response == nil {
			return errors.Wrap(ErrInvalidMessage, "message has no delivery")
		}
		c.handleResponse(m.Response)
	}
}

// handleResponse passes on the results of legs that are pending.
func (c *clientConn) handleResponse(r *response) {
	c.mu.Lock()
	g := c.groups[r.ID]
	if g == nil {
		c.mu.Unlock()

		return
	}
	g.responded = true
	// Each leg has one result: drops duplicates and results of legs that are not in the group.
	r.Results = slices.DeleteFunc(r.Results, func(result legResult) bool {
		pending := g.pending[result.Number]
		delete(g.pending, result.Number)

		return !pending
	})
	if len(g.pending) == 0 {
		g.timer.Stop()
		delete(c.groups, r.ID)
	}
	c.mu.Unlock()
	g.deliver(r.relayResponse())
}
