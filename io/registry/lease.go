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
	changes <-chan struct{}
	// released is closed by Release.
	released    chan struct{}
	releaseOnce sync.Once

	mu sync.Mutex
	// id is the granted lease, or empty, and registered is set once the entry has been written under it.
	id         string
	registered bool
	factor     clock.Milli
}

// NewLease returns a lease that has not been granted yet. It follows the daemon's role, whose changes it is told of. An
// active daemon gets a short time to live, so that its loss is detected quickly.
func NewLease(options Options, role func() subset.Role, changes <-chan struct{}) *Lease {
	return &Lease{options: options, role: role, changes: changes, released: make(chan struct{}), factor: 1}
}

// Run registers the daemon and renews its lease until ctx is done or the lease is released.
func (l *Lease) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-l.released:
			cancel()
		case <-ctx.Done():
		}
	}()
	for ctx.Err() == nil {
		l.mu.Lock()
		if !l.isReleased() {
			l.keep(ctx)
		}
		interval := renewInterval * l.factor
		l.mu.Unlock()
		sleep(ctx, interval, l.changes)
	}
}

func (l *Lease) isReleased() bool {
	select {
	case <-l.released:
		return true
	default:
		return false
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
		l.forget()
	}
}

// forget leaves the lease to expire.
func (l *Lease) forget() { l.id, l.registered = "", false }

// setFactor sets what multiplies the time to live. The entry moves to another lease when it changes; the old lease is
// left to expire.
func (l *Lease) setFactor(factor clock.Milli) {
	if factor != l.factor {
		l.factor = factor
		l.forget()
	}
}

// renew renews the lease, or registers the daemon under a new one when there is none or it has expired.
func (l *Lease) renew(ctx context.Context) {
	if l.registered {
		lease, err := l.options.Store.Renew(ctx, l.id)
		if err != nil || lease.Live {
			return
		}
		l.options.Record(event.Event{Kind: event.Member, Reason: reason.Lapsed, Detail: "own lease expired: " + l.id})
		l.forget()
	}
	lease, err := l.options.Store.Grant(ctx, leaseTTL*l.factor)
	if err != nil {
		return
	}
	l.id = lease.ID
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
	l.registered = true
}

// Release revokes the lease, which removes the daemon's entry, and ends Run with the call that it waits for. The entry
// of a registration that was under way may have been written, so that its lease is revoked too.
func (l *Lease) Release(ctx context.Context) {
	l.releaseOnce.Do(func() { close(l.released) })
	l.mu.Lock()
	defer l.mu.Unlock()
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
