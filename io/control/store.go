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
	return member.Member{
		Name: s.Name, Zone: s.Zone, CallerAddress: s.Caller, PeerAddress: s.Peer, OperatorAddress: s.Operator,
	}
}

// storeState is what this daemon knows of the store.
type storeState struct {
	reachable atomic.Bool
	// seated is set once the seats were read.
	seated atomic.Bool
	seats  atomic.Int64
}

// called takes note of whether a call reached the store.
func (c *Control) called(err error) error {
	if c.ctx.Err() == nil && c.store.reachable.Swap(err == nil) != (err == nil) {
		e := event.Event{Kind: event.Store, Detail: "reachable"}
		if err != nil {
			e.Reason, e.Detail = reason.Store, err.Error()
		}
		c.ports.Record(e)
	}

	return err
}

// leaseFor is the share of one daemon in the time between renewals: with it, all daemons together
// renew a hundred leases a second at most.
const leaseFor = 30 * clock.Millisecond

// lease is the span of the seat's lease.
func (c *Control) lease() clock.Milli {
	return max(c.ports.Lease, clock.Milli(c.store.seats.Load())*leaseFor)
}

// sit keeps this daemon's seat in the store until ctx ends. It never tries more often than it
// renews, so that an outage costs the store no more calls than its absence does.
func (c *Control) sit(ctx context.Context) {
	var lease store.Lease
	for ctx.Err() == nil && !c.stopping() {
		var err error
		if lease.Live {
			lease, err = c.ports.Store.Renew(ctx, lease.ID)
		}
		if err == nil && !lease.Live {
			lease, err = c.takeSeat(ctx)
		}
		_ = c.called(err)
		if !wait(ctx, jitter(c.lease()/3)) {
			return
		}
	}
	if lease.Live {
		_ = c.ports.Store.Revoke(ctx, lease.ID)
	}
}

func (c *Control) takeSeat(ctx context.Context) (store.Lease, error) {
	self := c.ports.Self
	epoch, _ := c.Standing()
	value, err := json.Marshal(
		seat{self.Name, self.Zone, self.CallerAddress, self.PeerAddress, self.OperatorAddress, epoch},
	)
	if err != nil {
		return store.Lease{}, err
	}
	lease, err := c.ports.Store.Grant(ctx, c.lease())
	if err != nil {
		return store.Lease{}, err
	}
	_, err = c.ports.Store.Put(ctx, seatPrefix+self.Name, string(value), store.Any, lease.ID)

	return lease, err
}

// jitter returns a span between three quarters of span and all of it.
func jitter(span clock.Milli) clock.Milli { return span * (1 - clock.Milli(random())/4) }

// Times of the store's followers.
const (
	// watchWait is how long a watch waits for a change.
	watchWait = 20 * clock.Second
	// turnWait is how often a daemon that does not watch asks itself whether it should.
	turnWait = 200 * clock.Millisecond
	// listWait is the time between two readings of the list of instances.
	listWait = clock.Second
)

// turn runs step whenever it is this daemon's turn to call the store, and waits longer each time
// that it fails.
func (c *Control) turn(ctx context.Context, step func() error) {
	try := 0
	for ctx.Err() == nil {
		if !c.watching.Load() {
			wait(ctx, turnWait)

			continue
		}
		if c.called(step()) == nil {
			try = 0

			continue
		}
		wait(ctx, backoff(try))
		try++
	}
}

// follow reads the configuration and then watches it.
func (c *Control) follow(ctx context.Context) {
	r := repository{c.ports.Store}
	read, after := false, int64(0)
	c.turn(ctx, func() error {
		after = max(after, c.snapshot.Load().Revision())
		if read {
			entries, revision, err := c.ports.Store.Watch(ctx, HeadKey, after, watchWait)
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
			return c.unreadable(ctx, err)
		}
		read = true
		if s != nil {
			after = max(after, s.Revision())
			c.post(adopted{snapshot: s})
		}

		return nil
	})
}

// unreadable passes errors of the store on. A value that cannot be read is logged instead, and
// changes nothing.
func (c *Control) unreadable(ctx context.Context, err error) error {
	if reasonOf(err) != "" {
		return err
	}
	klog.ErrorS(err, "configuration in the store cannot be read")
	wait(ctx, lastWait)

	return nil
}

// seats follows the seats of the daemons.
func (c *Control) seats(ctx context.Context) {
	after := int64(0)
	c.turn(ctx, func() error {
		var entries []store.Entry
		var err error
		if after == 0 {
			entries, after, err = c.ports.Store.List(ctx, seatPrefix)
			after = max(after, 1)
		} else {
			var revision int64
			entries, revision, err = c.ports.Store.Watch(ctx, seatPrefix, after, watchWait)
			after = max(after, revision)
		}
		if err != nil {
			after = 0

			return err
		}
		c.post(seated{entries})

		return nil
	})
}

// seated brings seats that changed.
type seated struct{ entries []store.Entry }

func (e seated) apply(c *Control) {
	now := c.ports.Now()
	for _, entry := range e.entries {
		name := strings.TrimPrefix(entry.Key, seatPrefix)
		if entry.Deleted {
			c.send(c.view.HandleSeatRemoved(now, name))

			continue
		}
		var s seat
		if err := json.Unmarshal([]byte(entry.Value), &s); err != nil || s.Name != name {
			klog.ErrorS(err, "seat in the store cannot be read", "key", entry.Key)

			continue
		}
		c.send(c.view.HandleSeatAdded(now, s.member(), s.Incarnation))
	}
	c.store.seated.Store(true)
}

// list reads the platform's list of instances from time to time.
func (c *Control) list(ctx context.Context) {
	c.turn(ctx, func() error {
		list, err := c.ports.Store.Instances(ctx)
		if err != nil {
			return err
		}
		c.post(listed{list})
		wait(ctx, jitter(listWait))

		return nil
	})
}

// listed brings the list of instances.
type listed struct{ list []store.Instance }

func (e listed) apply(c *Control) {
	leaving := make(map[string]bool)
	for _, i := range e.list {
		if i.Leaving {
			leaving[i.Name] = true
		}
		if k, ok := c.known[i.Name]; ok && i.Leaving && !k.gone && !k.holding.Draining {
			k.holding.Draining = true
			c.observe(k)
		}
	}
	if !maps.Equal(leaving, c.listed) {
		for name := range leaving {
			c.news = append(c.news, name)
		}
		for name := range c.listed {
			c.news = append(c.news, name)
		}
		c.dirty, c.closing = true, true
	}
	c.listed = leaving
	c.send(c.view.HandleInstanceList(c.ports.Now(), leaving))
}
