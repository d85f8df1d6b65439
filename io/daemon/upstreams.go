package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"jacinthferry/core/admit"
	"jacinthferry/core/clock"
	"jacinthferry/core/config"
	"jacinthferry/core/event"
	"jacinthferry/core/home"
	"jacinthferry/core/leg"
	"jacinthferry/core/reason"
	"jacinthferry/io/memory"
	"jacinthferry/io/secure"
	"jacinthferry/io/settings"
	"jacinthferry/io/timer"
	"jacinthferry/io/traffic"
	"jacinthferry/io/upstream"
)

// upstreams holds a connection pool for each upstream that this daemon calls.
type upstreams struct {
	ctx         context.Context
	settings    settings.Home
	now         func() clock.Milli
	credentials *secure.Credentials
	group       *traffic.Group
	record      func(event.Event)
	// memory is shared by the answers of all upstreams.
	memory *memory.Budget

	mu    sync.Mutex
	pools map[string]*upstream.Pool
}

func newUpstreams(ctx context.Context, s settings.Home, now func() clock.Milli, creds *secure.Credentials) *upstreams {
	return &upstreams{
		ctx: ctx, settings: s, now: now, credentials: creds, pools: make(map[string]*upstream.Pool),
		memory: memory.NewBudget(responseMemoryBytes),
	}
}

// responseMemoryBytes is how much memory the large answers of upstreams may hold together while they are read.
const responseMemoryBytes = 64 << 20

// inspectInterval is the time between two inspections of the connections.
const inspectInterval = 100 * time.Millisecond

// start reports the state of upstreams to the group from now on, and inspects the connections for
// silence until the context ends.
func (u *upstreams) start(g *traffic.Group, record func(event.Event)) {
	u.group, u.record = g, record
	go func() {
		timer.Every(u.ctx, inspectInterval, func() {
			for _, c := range u.allPools() {
				c.RetireSilent()
			}
		})
		for _, c := range u.allPools() {
			c.Close()
		}
	}()
}

func (u *upstreams) allPools() []*upstream.Pool {
	u.mu.Lock()
	defer u.mu.Unlock()
	list := make([]*upstream.Pool, 0, len(u.pools))
	for _, c := range u.pools {
		list = append(list, c)
	}

	return list
}

func (u *upstreams) pool(c config.Upstream) *upstream.Pool {
	u.mu.Lock()
	defer u.mu.Unlock()
	key := c.Name + "@" + c.Address
	if p := u.pools[key]; p != nil {
		return p
	}
	p := upstream.NewPool(c.Address, upstream.Options{
		Now: u.now, MaxConnections: c.MaxConnections, Slots: c.Slots, OverrunMargin: u.settings.OverrunMargin,
		Credentials: u.credentials, SilenceTimeout: u.settings.SilenceTimeout, MaxIdleForSubmit: u.settings.MaxIdleForSubmit,
		ResponseMemory: u.memory,
		OnConnectionFailure: func(code reason.Code) {
			u.record(event.Event{Kind: event.Connection, Reason: code, Upstream: c.Name})
			u.group.HandleConnectionFailure(c.Name, code)
		},
	})
	u.pools[key] = p

	return p
}

func (u *upstreams) runLeg(c config.Upstream, l leg.Leg) admit.Outcome { return u.pool(c).Run(l) }

func (u *upstreams) cancelLeg(c config.Upstream, l leg.Leg) { u.pool(c).CancelLeg(l) }

func (u *upstreams) openConnections(c config.Upstream) { u.pool(c).OpenConnections() }

// closeIdleConnections removes the pool of an upstream whose home is now another daemon, and closes
// its idle connections.
func (u *upstreams) closeIdleConnections(c config.Upstream) {
	u.mu.Lock()
	key := c.Name + "@" + c.Address
	p := u.pools[key]
	delete(u.pools, key)
	u.mu.Unlock()
	if p != nil {
		p.Close()
	}
}

func (u *upstreams) fetchReport(ctx context.Context, c config.Upstream) (upstream.Report, error) {
	r, err := u.pool(c).Report(ctx)
	if err == nil {
		u.group.HandleReport(c.Name, r.Incarnation, r.Load)
	}

	return r, err
}

func admitPolicy(s settings.Home) *admit.Policy {
	return &admit.Policy{
		WarmupAnswers: s.WarmupAnswers, MaxQueued: s.MaxQueued, Priority: s.Priority, RoutineInterval: s.RoutineInterval,
		EarlyRefusal:  s.EarlyRefusal,
		FairQueueing:  s.FairQueueing,
		AdaptiveLimit: s.AdaptiveLimit, RewarmAfterGap: s.RewarmAfterGap, OverrunMargin: s.OverrunMargin,
		StaleAfter: s.StaleAfter,
	}
}

func homeConfig(s settings.Home) home.Config {
	return home.Config{
		MembershipLag: s.MembershipLag, HandoverGrace: s.HandoverGrace, MaxLegDuration: s.MaxLegDuration,
		OverrunMargin: s.OverrunMargin,
	}
}

// idBytes is the number of random bytes in a request ID.
const idBytes = 12

func newID() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:])

	return hex.EncodeToString(b[:])
}
