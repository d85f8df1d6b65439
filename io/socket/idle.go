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

// idleEvery is the time between two looks for connections that were unused for too long.
const idleEvery = 2 * time.Second

// Idle closes the connections of a server that stay unused for too long. Its limit may change while
// the server runs. It is safe for concurrent use.
type Idle struct {
	now   func() clock.Milli
	limit func() clock.Milli
	mu    sync.Mutex
	since map[net.Conn]clock.Milli
}

// NewIdle returns an Idle for connections that may stay unused for the time that limit returns.
func NewIdle(now, limit func() clock.Milli) *Idle {
	return &Idle{now: now, limit: limit, since: make(map[net.Conn]clock.Milli)}
}

// State takes the state of a connection. It is a server's ConnState function.
func (i *Idle) State(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateNew || state == http.StateIdle {
		i.since[c] = i.now()

		return
	}
	delete(i.since, c)
}

// Run closes connections until ctx ends.
func (i *Idle) Run(ctx context.Context) { timer.Every(ctx, idleEvery, i.Sweep) }

// Sweep closes the connections that are unused for too long by now.
func (i *Idle) Sweep() {
	i.mu.Lock()
	defer i.mu.Unlock()
	oldest := i.now() - i.limit()
	for c, since := range i.since {
		if since < oldest {
			delete(i.since, c)
			_ = c.Close()
		}
	}
}
