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

// seatPrefix begins the keys of daemons' seats.
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
	return member.Member{Name: s.Name, Zone: s.Zone, Caller: s.Caller, Peer: s.Peer, Operator: s.Operator}
}

// storeState is what this daemon knows of the store.
type storeState struct {
	reachable atomic.Bool
	// seated is set once the seats were read.
	seatsRead atomic.Bool
	seats     atomic.Int64
}

// called takes note of whether a call reached the store.
func (c *Control) recordStoreCall(err error) error {
	if c.ctx.Err() == nil && c.store.reachable.Swap(err == nil) != (err == nil) {
		e := event.Event{Kind: event.Store, Detail: "reachable"}
		if err != nil {
			e.Reason, e.Detail = reason.Store, err.Error()
		}
		c.opts.Record(e)
	}

	return err
}

// leaseFor is the share of one daemon in the time between renewals: with it, all daemons together
// renew a hundred leases a second at most.
const leasePerDaemon = 30 * clock.Millisecond

// lease is the span of the seat's lease.
func (c *Control) leaseTTL() clock.Milli {
	return max(c.opts.Lease, clock.Milli(c.store.seats.Load())*leasePerDaemon)
}

// sit keeps this daemon's seat in the store until ctx ends. It never tries more often than it
// renews, so that an outage costs the store no more calls than its absence does.
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
	epoch, _ := c.Standing()
	value, err := json.Marshal(seat{self.Name, self.Zone, self.Caller, self.Peer, self.Operator, epoch})
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

// jitter returns a span between three quarters of span and all of it.
func jitter(span clock.Milli) clock.Milli { return span * (1 - clock.Milli(random())/4) }

// Times of the store's followers.
const (
	// watchWait is how long a watch waits for a change.
	watchTimeout = 20 * clock.Second
	// turnWait is how often a daemon that does not watch asks itself whether it should.
	watchingCheckInterval = 200 * clock.Millisecond
	// listWait is the time between two readings of the list of instances.
	instancePollInterval = clock.Second
)

// turn runs step whenever it is this daemon's turn to call the store, and waits longer each time
// that it fails.
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

// follow reads the configuration and then watches it.
func (c *Control) followConfig(ctx context.Context) {
	r := repository{c.opts.Store}
	read, after := false, int64(0)
	c.runWhileWatching(ctx, func() error {
		after = max(after, c.snapshot.Load().Revision())
		if read {
			entries, revision, err := c.opts.Store.Watch(ctx, HeadKey, after, watchTimeout)
			if err != nil {
				// The store may have forgotten the revision that the watch starts from.
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

// unreadable passes errors of the store on. A value that cannot be read is logged instead, and
// changes nothing.
func (c *Control) handleLoadError(ctx context.Context, err error) error {
	if reasonOf(err) != "" {
		return err
	}
	klog.ErrorS(err, "configuration in the store cannot be read")
	sleep(ctx, maxBackoff)

	return nil
}

// seats follows the seats of the daemons.
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

// seated brings seats that changed.
type seatChanges struct{ entries []store.Entry }

func (e seatChanges) apply(c *Control) {
	now := c.opts.Now()
	for _, entry := range e.entries {
		name := strings.TrimPrefix(entry.Key, seatPrefix)
		if entry.Deleted {
			c.sendMemberMessages(c.view.Vacate(now, name))

			continue
		}
		var s seat
		if err := json.Unmarshal([]byte(entry.Value), &s); err != nil || s.Name != name {
			klog.ErrorS(err, "seat in the store cannot be read", "key", entry.Key)

			continue
		}
		c.sendMemberMessages(c.view.Seat(now, s.member(), s.Incarnation))
	}
	c.store.seatsRead.Store(true)
}

// list reads the platform's list of instances from time to time.
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

// listed brings the list of instances.
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
	c.sendMemberMessages(c.view.Listed(c.opts.Now(), leaving))
}
