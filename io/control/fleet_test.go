package control_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"jacinthferry/core/clock"
	"jacinthferry/core/config"
	"jacinthferry/core/event"
	"jacinthferry/core/member"
	"jacinthferry/core/reason"
	"jacinthferry/core/route"
	"jacinthferry/io/control"
	"jacinthferry/io/peer"
	"jacinthferry/io/store"
	"jacinthferry/io/timer"
	"jacinthferry/io/upstream"
	standin "jacinthferry/standin/platform"
)

// fakeStore is the stand-in store with fault injection and call counts.
type fakeStore struct {
	store.Store
	down   atomic.Bool
	calls  atomic.Int64
	writes atomic.Int64
	// loseResponses is how many more responses to writes of the head are lost after the write took effect.
	loseResponses atomic.Int64
	// beforeHeadWrite is called once before the next write of the head takes effect.
	beforeHeadWrite atomic.Pointer[func()]
}

var errDown = reason.NewRefusal(reason.Connection, reason.NotExecuted, "the store is down")

func newStore(now func() clock.Milli) *fakeStore {
	inner := standin.New(now).Operations()
	s := &fakeStore{Store: inner}
	s.Get = func(ctx context.Context, key string) (store.Entry, error) {
		if err := s.call(); err != nil {
			return store.Entry{}, err
		}

		return inner.Get(ctx, key)
	}
	s.List = func(ctx context.Context, prefix string) ([]store.Entry, int64, error) {
		if err := s.call(); err != nil {
			return nil, 0, err
		}

		return inner.List(ctx, prefix)
	}
	s.Watch = func(
		ctx context.Context, prefix string, after int64, wait clock.Milli,
	) ([]store.Entry, int64, error) {
		if err := s.call(); err != nil {
			return nil, 0, err
		}
		for end := time.Now().Add(wait.Duration()); time.Now().Before(end) && ctx.Err() == nil && !s.down.Load(); {
			entries, revision, err := inner.Watch(ctx, prefix, after, 50)
			if s.down.Load() {
				break
			}
			if err != nil || len(entries) > 0 {
				return entries, revision, err
			}
		}
		if s.down.Load() {
			return nil, 0, errDown
		}

		return nil, after, nil
	}
	s.Put = func(ctx context.Context, key, value string, expect int64, lease string) (store.WriteResult, error) {
		if err := s.call(); err != nil {
			return store.WriteResult{}, err
		}
		s.writes.Add(1)
		if key == control.HeadKey {
			if before := s.beforeHeadWrite.Swap(nil); before != nil {
				(*before)()
			}
		}
		w, err := inner.Put(ctx, key, value, expect, lease)
		if key == control.HeadKey && s.loseResponses.Add(-1) >= 0 {
			return store.WriteResult{}, reason.NewRefusal(reason.Deadline, reason.ExecutionUnknown, "the response was lost")
		}

		return w, err
	}
	s.Delete = func(ctx context.Context, key string, expect int64) (store.WriteResult, error) {
		if err := s.call(); err != nil {
			return store.WriteResult{}, err
		}
		s.writes.Add(1)

		return inner.Delete(ctx, key, expect)
	}
	s.Grant = func(ctx context.Context, span clock.Milli) (store.Lease, error) {
		if err := s.call(); err != nil {
			return store.Lease{}, err
		}
		s.writes.Add(1)

		return inner.Grant(ctx, span)
	}
	s.Renew = func(ctx context.Context, lease string) (store.Lease, error) {
		if err := s.call(); err != nil {
			return store.Lease{}, err
		}
		s.writes.Add(1)

		return inner.Renew(ctx, lease)
	}
	s.Instances = func(ctx context.Context) ([]store.Instance, error) {
		if err := s.call(); err != nil {
			return nil, err
		}

		return inner.Instances(ctx)
	}

	return s
}

func (s *fakeStore) call() error {
	s.calls.Add(1)
	if s.down.Load() {
		return errDown
	}

	return nil
}

// fleet is a set of control threads that exchange messages in memory.
type fleet struct {
	now     func() clock.Milli
	store   *fakeStore
	ctx     context.Context
	mu      sync.RWMutex
	nodes   map[string]*node
	bytes   atomic.Int64
	sent    atomic.Int64
	reports func(config.Upstream) (upstream.Report, error)
}

type node struct {
	*control.Control
	cancel context.CancelFunc
	inbox  chan func()
	table  atomic.Pointer[route.Table]
	// highest is the last published revision, and regressed is set if a lower one followed a higher one.
	highest   atomic.Uint64
	regressed atomic.Bool
}

func newFleet(ctx context.Context) *fleet {
	f := &fleet{now: timer.NewClock(), ctx: ctx, nodes: make(map[string]*node)}
	f.store = newStore(f.now)
	f.reports = func(config.Upstream) (upstream.Report, error) { return upstream.Report{}, nil }

	return f
}

func (f *fleet) get(name string) *node {
	f.mu.RLock()
	defer f.mu.RUnlock()

	return f.nodes[name]
}

func (f *fleet) start(name, zone string) *node {
	ctx, cancel := context.WithCancel(f.ctx)
	n := &node{cancel: cancel, inbox: make(chan func(), 1<<14)}
	n.Control = control.New(ctx, control.Options{
		Self:  member.Member{Name: name, Zone: zone, CallerAddress: name + ":c", PeerAddress: name + ":p"},
		Store: f.store.Store, Now: f.now, LeaseTTL: 3 * clock.Second, ReportInterval: 250 * clock.Millisecond,
		MemberPolicy: member.DefaultPolicy(), Seed: 1, RecordEvent: func(event.Event) {},
		FetchReport: func(_ context.Context, u config.Upstream) (upstream.Report, error) { return f.reports(u) },
		SendMessage: func(to member.Member, c peer.ControlMessage) {
			f.sent.Add(1)
			f.bytes.Add(int64(c.EncodedSize()))
			if other := f.get(to.Name); other != nil {
				other.inbox <- func() { other.HandleMessage(name, c) }
			} else {
				n.inbox <- func() { n.HandleLinkFailure(to.Name) }
			}
		},
		SendHolding: func(to string, h route.Holding, gone bool) {
			if other := f.get(to); other != nil {
				other.inbox <- func() { other.HandleHolding(name, h, gone) }
			}
		},
		PublishTable: func(t *route.Table) {
			if t.Revision < n.highest.Load() {
				n.regressed.Store(true)
			}
			n.highest.Store(t.Revision)
			n.table.Store(t)
		},
		PublishMembers: func([]member.Member, []member.Member) {},
	})
	f.mu.Lock()
	f.nodes[name] = n
	f.mu.Unlock()
	go n.Run()
	go n.deliver(ctx)

	return n
}

// deliver delivers messages in the order in which they were sent.
func (n *node) deliver(ctx context.Context) {
	for {
		select {
		case f := <-n.inbox:
			f()
		case <-ctx.Done():
			return
		}
	}
}

func (f *fleet) startAll(count, zones int) {
	for i := range count {
		f.start(fmt.Sprintf("d%03d", i), fmt.Sprintf("z%d", i%zones))
	}
}

func (f *fleet) kill(name string) {
	f.mu.Lock()
	n := f.nodes[name]
	delete(f.nodes, name)
	f.mu.Unlock()
	n.cancel()
}

// lowestRevision returns the lowest revision in force on any daemon.
func (f *fleet) lowestRevision() int64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	low := int64(-1)
	for _, n := range f.nodes {
		_, r, _ := n.CurrentConfig(f.ctx)
		if low < 0 || r.Revision < low {
			low = r.Revision
		}
	}

	return low
}

// allListed reports whether every daemon lists all daemons for callers, up to the limit of 16.
func (f *fleet) allListed() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, n := range f.nodes {
		if len(n.Entries("")) != min(len(f.nodes), 16) {
			return false
		}
	}

	return true
}

// sampleConfig returns a configuration with zones and one service with upstreams.
func sampleConfig(zones, upstreams int) config.Config {
	var c config.Config
	for i := range zones {
		c.Zones = append(c.Zones, config.Zone{Name: fmt.Sprintf("z%d", i)})
	}
	v := config.Version{Name: "v1", Share: 1}
	for i := range upstreams {
		v.Upstreams = append(v.Upstreams, config.Upstream{
			Name: fmt.Sprintf("u%d", i), Address: fmt.Sprintf("10.0.%d.%d:80", i/256, i%256),
			Zone: fmt.Sprintf("z%d", i%zones), Slots: 2, MaxConnections: 25, ColdLimit: 1,
		})
	}
	c.Services = []config.Service{{Name: "s", Versions: []config.Version{v}}}

	return c
}
