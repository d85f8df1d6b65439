package registry

import (
	"context"
	"sync"
	"time"

	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/reason"
	"jacinthferry/core/subset"
	"jacinthferry/io/store"
)

const (
	// leaseTTL is how long a daemon's entry remains in the store after its last renewal.
	leaseTTL = 2 * clock.Second
	// renewInterval is the time between two renewals.
	renewInterval = 600 * clock.Millisecond
	// reserveFactor multiplies both for a daemon in reserve.
	reserveFactor = 3
)

// Lease keeps this daemon's entry registered in the store, unless the daemon is idle. It is safe for concurrent use.
type Lease struct {
	options Options
	role    func() subset.Role
	// changes receives a value after the role has changed.
	changes  <-chan struct{}
	mu       sync.Mutex
	id       string
	factor   clock.Milli
	released bool
}

// NewLease returns a lease that has not been granted yet. It follows the daemon's role, whose changes it is told of. An
// active daemon gets a short time to live, so that its loss is detected quickly.
func NewLease(options Options, role func() subset.Role, changes <-chan struct{}) *Lease {
	return &Lease{options: options, role: role, changes: changes, factor: 1}
}

// Run registers the daemon and renews its lease until ctx is done.
func (l *Lease) Run(ctx context.Context) {
	for ctx.Err() == nil {
		l.mu.Lock()
		if !l.released {
			l.keep(ctx)
		}
		interval := renewInterval * l.factor
		l.mu.Unlock()
		sleep(ctx, interval, l.changes)
	}
}

// keep registers the daemon if its role asks for that, and lets the lease expire if not.
func (l *Lease) keep(ctx context.Context) {
	switch l.role() {
	case subset.Active:
		l.setFactor(1)
		l.renew(ctx)
	case subset.Reserve:
		l.setFactor(reserveFactor)
		l.renew(ctx)
	default:
		l.setFactor(reserveFactor)
		l.id = ""
	}
}

// setFactor sets what multiplies the time to live. The entry moves to another lease when it changes; the old lease is
// left to expire.
func (l *Lease) setFactor(factor clock.Milli) {
	if factor != l.factor {
		l.factor, l.id = factor, ""
	}
}

// renew renews the lease, or registers the daemon under a new one when there is none or it has expired.
func (l *Lease) renew(ctx context.Context) {
	if l.id != "" {
		lease, err := l.options.Store.Renew(ctx, l.id)
		if err != nil || lease.Live {
			return
		}
		l.options.Record(event.Event{Kind: event.Member, Reason: reason.Lapsed, Detail: "own lease expired: " + l.id})
		l.id = ""
	}
	lease, err := l.options.Store.Grant(ctx, leaseTTL*l.factor)
	if err != nil {
		return
	}
	self := l.options.Self
	self.Reserve = l.factor == reserveFactor
	value, err := self.value()
	if err != nil {
		return
	}
	if _, err := l.options.Store.Put(ctx, l.options.Self.key(), value, store.Any, lease.ID); err != nil {
		l.options.Record(event.Event{
			Kind: event.Member, Reason: reason.Store, Detail: "cannot register this daemon: " + err.Error(),
		})

		return
	}
	l.id = lease.ID
}

// Release revokes the lease, which removes the daemon's entry, and stops Run from registering it again.
func (l *Lease) Release(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.released = true
	if l.id == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := l.options.Store.Revoke(ctx, l.id); err != nil {
		l.options.Record(event.Event{
			Kind: event.Member, Reason: reason.Store, Detail: "cannot revoke own lease: " + err.Error(),
		})
	}
}

// leaveTimeout bounds the call that revokes the lease.
const leaveTimeout = time.Second
