package registry

import (
	"context"
	"sync"
	"time"

	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/reason"
	"jacinthferry/io/store"
)

const (
	// leaseSpan is how long a daemon's entry outlives it.
	leaseSpan = 2 * clock.Second
	// renewEvery is the time between two renewals.
	renewEvery = 600 * clock.Millisecond
	// standbyFactor is how many times longer both are for a daemon that may be standing by.
	standbyFactor = 3
)

// Lease keeps this daemon's entry in the store.
type Lease struct {
	ports   Ports
	settled func() bool
	mu      sync.Mutex
	id      string
	factor  clock.Milli
	left    bool
}

// NewLease returns a lease that is not held yet. It is short, so that the loss of the daemon is soon
// noticed, once settled says that the daemon takes requests.
func NewLease(ports Ports, settled func() bool) *Lease {
	return &Lease{ports: ports, settled: settled, factor: standbyFactor}
}

// Run registers the daemon and renews its lease until ctx ends.
func (l *Lease) Run(ctx context.Context) {
	for ctx.Err() == nil {
		l.mu.Lock()
		if !l.left {
			l.keep(ctx)
		}
		span := renewEvery * l.factor
		l.mu.Unlock()
		pause(ctx, span)
	}
}

// keep renews the lease, or takes a new one when it has ended.
func (l *Lease) keep(ctx context.Context) {
	factor := clock.Milli(standbyFactor)
	if l.settled() {
		factor = 1
	}
	if factor != l.factor {
		// The entry moves to a lease of another span; the old one runs out.
		l.factor, l.id = factor, ""
	}
	if l.id != "" {
		lease, err := l.ports.Store.Renew(ctx, l.id)
		if err != nil || lease.Live {
			return
		}
		l.ports.Record(event.Event{Kind: event.Member, Reason: reason.Lapsed, Detail: "own lease " + l.id})
		l.id = ""
	}
	lease, err := l.ports.Store.Grant(ctx, leaseSpan*l.factor)
	if err != nil {
		return
	}
	value, err := l.ports.Self.value()
	if err != nil {
		return
	}
	if _, err := l.ports.Store.Put(ctx, l.ports.Self.key(), value, store.Any, lease.ID); err != nil {
		l.ports.Record(event.Event{Kind: event.Member, Reason: reason.Store, Detail: "not registered: " + err.Error()})

		return
	}
	l.id = lease.ID
}

// Leave removes the daemon's entry and registers it no more.
func (l *Lease) Leave(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.left = true
	if l.id == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := l.ports.Store.Revoke(ctx, l.id); err != nil {
		l.ports.Record(event.Event{Kind: event.Member, Reason: reason.Store, Detail: "not removed: " + err.Error()})
	}
}

// leaveTimeout bounds the call that removes the entry.
const leaveTimeout = time.Second
