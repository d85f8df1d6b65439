package socket

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"jacinthferry/core/clock"
	"jacinthferry/io/timer"
)

// sweepInterval is the time between two checks for connections that have been idle for too long.
const sweepInterval = 2 * time.Second

// IdleCloser closes the connections of a server that stay idle for too long. Its limit may change while the
// server runs. It is safe for concurrent use.
type IdleCloser struct {
	now   func() clock.Milli
	limit func() clock.Milli
	mu    sync.Mutex
	// idleSince maps new and idle connections to the time at which they became so.
	idleSince map[net.Conn]clock.Milli
}

// NewIdleCloser returns a value that closes connections once they have been idle for longer than limit returns. It
// closes none before Run or Sweep is called.
func NewIdleCloser(now, limit func() clock.Milli) *IdleCloser {
	return &IdleCloser{now: now, limit: limit, idleSince: make(map[net.Conn]clock.Milli)}
}

// ConnState records a change of a connection's state. It is to be the ConnState function of an http.Server.
func (i *IdleCloser) ConnState(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateNew || state == http.StateIdle {
		i.idleSince[c] = i.now()

		return
	}
	delete(i.idleSince, c)
}

// Run calls Sweep periodically until ctx ends.
func (i *IdleCloser) Run(ctx context.Context) { timer.Every(ctx, sweepInterval, i.Sweep) }

// Sweep closes the connections that have been idle for longer than the limit in force.
func (i *IdleCloser) Sweep() {
	i.mu.Lock()
	defer i.mu.Unlock()
	oldest := i.now() - i.limit()
	for c, since := range i.idleSince {
		if since < oldest {
			delete(i.idleSince, c)
			_ = c.Close()
		}
	}
}
