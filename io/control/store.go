package control

import (
	"context"
	"encoding/json"
	"maps"
	"strings"
	"sync/atomic"

	"k8s.io/klog/v2"

	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/member"
	"jacinthferry/core/reason"
	"jacinthferry/io/store"
)

// seatPrefix is the prefix of the keys of daemons' seats.
const seatPrefix = "seat/"

// seat is a daemon's entry in the store.
type seat struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Caller      string `json:"caller"`
	Peer        string `json:"peer"`
	Operator    string `json:"operator,omitempty"`
	Incarnation uint64 `json:"life"`
}

func (s seat) member() member.Member {
	return member.Member{
		Name: s.Name, Zone: s.Zone, CallerAddress: s.Caller, PeerAddress: s.Peer, OperatorAddress: s.Operator,
	}
}

// storeState is what this daemon knows about the store.
type storeState struct {
	reachable atomic.Bool
	// seatsRead is set once the seats have been read.
	seatsRead atomic.Bool
	seats     atomic.Int64
}

// recordStoreCall records whether the store is reachable, given the error of a call, and returns err.
func (c *Control) recordStoreCall(err error) error {
	if c.ctx.Err() == nil && c.store.reachable.Swap(err == nil) != (err == nil) {
		e := event.Event{Kind: event.Store, Detail: "reachable"}
		if err != nil {
			e.Reason, e.Detail = reason.Store, err.Error()
		}
		c.opts.RecordEvent(e)
	}

	return err
}

// leasePerDaemon is the time to live of leases for each daemon of the fleet. It limits the renewals of
// all daemons together to 100 a second.
const leasePerDaemon = 30 * clock.Millisecond

// leaseTTL returns the time to live of the seat's lease.
func (c *Control) leaseTTL() clock.Milli {
	return max(c.opts.LeaseTTL, clock.Milli(c.store.seats.Load())*leasePerDaemon)
}

// holdSeat keeps this daemon's seat in the store until ctx is done or the daemon leaves. It retries no
// more often than it renews, so that an outage causes no more calls than normal operation.
func (c *Control) holdSeat(ctx context.Context) {
	var lease store.Lease
	for ctx.Err() == nil && !c.isLeaving() {
		var err error
		if lease.Live {
			lease, err = c.opts.Store.Renew(ctx, lease.ID)
		}
		if err == nil && !lease.Live {
			lease, err = c.takeSeat(ctx)
		}
		_ = c.recordStoreCall(err)
		if !sleep(ctx, jitter(c.leaseTTL()/3)) {
			return
		}
	}
	if lease.Live {
		_ = c.opts.Store.Revoke(ctx, lease.ID)
	}
}

func (c *Control) takeSeat(ctx context.Context) (store.Lease, error) {
	self := c.opts.Self
	epoch, _ := c.Membership()
	value, err := json.Marshal(
		seat{self.Name, self.Zone, self.CallerAddress, self.PeerAddress, self.OperatorAddress, epoch},
	)
	if err != nil {
		return store.Lease{}, err
	}
	lease, err := c.opts.Store.Grant(ctx, c.leaseTTL())
	if err != nil {
		return store.Lease{}, err
	}
	_, err = c.opts.Store.Put(ctx, seatPrefix+self.Name, string(value), store.Any, lease.ID)

	return lease, err
}

// jitter returns a random duration between three quarters of span and span.
func jitter(span clock.Milli) clock.Milli { return span * (1 - clock.Milli(random())/4) }

// Intervals and timeouts of the goroutines that follow the store.
const (
	// watchTimeout is how long a watch waits for a change.
	watchTimeout = 20 * clock.Second
	// watchingCheckInterval is how often a daemon that does not watch the store checks whether it should.
	watchingCheckInterval = 200 * clock.Millisecond
	// instancePollInterval is the time between two reads of the list of instances.
	instancePollInterval = clock.Second
)

// runWhileWatching runs step repeatedly while this daemon watches the store, with exponential backoff
// after failures.
func (c *Control) runWhileWatching(ctx context.Context, step func() error) {
	attempt := 0
	for ctx.Err() == nil {
		if !c.watching.Load() {
			sleep(ctx, watchingCheckInterval)

			continue
		}
		if c.recordStoreCall(step()) == nil {
			attempt = 0

			continue
		}
		sleep(ctx, backoff(attempt))
		attempt++
	}
}

// followConfig reads the configuration and then watches it.
func (c *Control) followConfig(ctx context.Context) {
	r := repository{c.opts.Store}
	read, after := false, int64(0)
	c.runWhileWatching(ctx, func() error {
		after = max(after, c.snapshot.Load().Revision())
		if read {
			entries, revision, err := c.opts.Store.Watch(ctx, HeadKey, after, watchTimeout)
			if err != nil {
				// The store may no longer keep the revision from which the watch starts.
				read = false

				return err
			}
			if len(entries) == 0 {
				after = max(after, revision)

				return nil
			}
		}
		s, err := r.load(ctx, c.snapshot.Load())
		if err != nil {
			return c.handleLoadError(ctx, err)
		}
		read = true
		if s != nil {
			after = max(after, s.Revision())
			c.post(acceptedRevision{snapshot: s})
		}

		return nil
	})
}

// handleLoadError returns err if it is an error of the store. A value that cannot be decoded is logged
// instead, and the configuration stays in force.
func (c *Control) handleLoadError(ctx context.Context, err error) error {
	if reasonOf(err) != "" {
		return err
	}
	klog.ErrorS(err, "cannot decode the configuration in the store")
	sleep(ctx, maxBackoff)

	return nil
}

// followSeats reads the seats of the daemons and then watches them.
func (c *Control) followSeats(ctx context.Context) {
	after := int64(0)
	c.runWhileWatching(ctx, func() error {
		var entries []store.Entry
		var err error
		if after == 0 {
			entries, after, err = c.opts.Store.List(ctx, seatPrefix)
			after = max(after, 1)
		} else {
			var revision int64
			entries, revision, err = c.opts.Store.Watch(ctx, seatPrefix, after, watchTimeout)
			after = max(after, revision)
		}
		if err != nil {
			after = 0

			return err
		}
		c.post(seatChanges{entries})

		return nil
	})
}

// seatChanges is the message for seats that changed.
type seatChanges struct{ entries []store.Entry }

func (e seatChanges) apply(c *Control) {
	now := c.opts.Now()
	for _, entry := range e.entries {
		name := strings.TrimPrefix(entry.Key, seatPrefix)
		if entry.Deleted {
			c.sendMemberMessages(c.view.HandleSeatRemoved(now, name))

			continue
		}
		var s seat
		if err := json.Unmarshal([]byte(entry.Value), &s); err != nil || s.Name != name {
			klog.ErrorS(err, "cannot decode a seat in the store, or its name differs from its key", "key", entry.Key)

			continue
		}
		c.sendMemberMessages(c.view.HandleSeatAdded(now, s.member(), s.Incarnation))
	}
	c.store.seatsRead.Store(true)
}

// pollInstances reads the platform's list of instances periodically.
func (c *Control) pollInstances(ctx context.Context) {
	c.runWhileWatching(ctx, func() error {
		list, err := c.opts.Store.Instances(ctx)
		if err != nil {
			return err
		}
		c.post(instanceList{list})
		sleep(ctx, jitter(instancePollInterval))

		return nil
	})
}

// instanceList is the message for the platform's list of instances.
type instanceList struct{ list []store.Instance }

func (e instanceList) apply(c *Control) {
	leaving := make(map[string]bool)
	for _, i := range e.list {
		if i.Leaving {
			leaving[i.Name] = true
		}
		if o, ok := c.observations[i.Name]; ok && i.Leaving && !o.gone && !o.holding.Draining {
			o.holding.Draining = true
			c.observe(o)
		}
	}
	if !maps.Equal(leaving, c.leavingInstances) {
		for name := range leaving {
			c.changedUpstreams = append(c.changedUpstreams, name)
		}
		for name := range c.leavingInstances {
			c.changedUpstreams = append(c.changedUpstreams, name)
		}
		c.dirty, c.closedDirty = true, true
	}
	c.leavingInstances = leaving
	c.sendMemberMessages(c.view.HandleInstanceList(c.opts.Now(), leaving))
}
