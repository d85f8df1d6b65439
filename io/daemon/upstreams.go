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
	"jacinthferry/io/secure"
	"jacinthferry/io/settings"
	"jacinthferry/io/timer"
	"jacinthferry/io/traffic"
	"jacinthferry/io/upstream"
)

// upstreams holds a client for each upstream that this daemon calls.
type upstreams struct {
	ctx      context.Context
	settings settings.Home
	now      func() clock.Milli
	edge     *secure.Credentials
	group    *traffic.Group
	record   func(event.Event)

	mu      sync.Mutex
	clients map[string]*upstream.Pool
}

func newUpstreams(ctx context.Context, s settings.Home, now func() clock.Milli, edge *secure.Credentials) *upstreams {
	return &upstreams{ctx: ctx, settings: s, now: now, edge: edge, clients: make(map[string]*upstream.Pool)}
}

// inspectWait is the time between two looks at the connections.
const inspectWait = 100 * time.Millisecond

// watch passes what is learnt of upstreams to the group, and looks for silent connections.
func (u *upstreams) watch(g *traffic.Group, record func(event.Event)) {
	u.group, u.record = g, record
	go func() {
		timer.Every(u.ctx, inspectWait, func() {
			for _, c := range u.list() {
				c.RetireSilent()
			}
		})
		for _, c := range u.list() {
			c.Close()
		}
	}()
}

func (u *upstreams) list() []*upstream.Pool {
	u.mu.Lock()
	defer u.mu.Unlock()
	list := make([]*upstream.Pool, 0, len(u.clients))
	for _, c := range u.clients {
		list = append(list, c)
	}

	return list
}

func (u *upstreams) client(c config.Upstream) *upstream.Pool {
	u.mu.Lock()
	defer u.mu.Unlock()
	key := c.Name + "@" + c.Address
	if known := u.clients[key]; known != nil {
		return known
	}
	made := upstream.NewPool(c.Address, upstream.Options{
		Now: u.now, MaxConnections: c.MaxConnections, Slots: c.Slots, OverrunMargin: u.settings.OverrunMargin,
		Edge: u.edge, SilenceTimeout: u.settings.SilenceTimeout, MaxIdleForSubmit: u.settings.MaxIdleForSubmit,
		OnConnectionFailure: func(why reason.Code) {
			u.record(event.Event{Kind: event.Connection, Reason: why, Upstream: c.Name})
			u.group.HandleConnectionFailure(c.Name, why)
		},
	})
	u.clients[key] = made

	return made
}

func (u *upstreams) run(c config.Upstream, l leg.Leg) admit.Outcome { return u.client(c).Run(l) }

func (u *upstreams) stop(c config.Upstream, l leg.Leg) { u.client(c).CancelLeg(l) }

func (u *upstreams) prepare(c config.Upstream) { u.client(c).OpenConnections() }

// leave closes the idle connections to an upstream that another daemon is home to.
func (u *upstreams) leave(c config.Upstream) {
	u.mu.Lock()
	key := c.Name + "@" + c.Address
	known := u.clients[key]
	delete(u.clients, key)
	u.mu.Unlock()
	if known != nil {
		known.Close()
	}
}

func (u *upstreams) report(ctx context.Context, c config.Upstream) (upstream.Report, error) {
	r, err := u.client(c).Report(ctx)
	if err == nil {
		u.group.HandleReport(c.Name, r.Incarnation, r.Load)
	}

	return r, err
}

func admitPolicy(s settings.Home) *admit.Policy {
	return &admit.Policy{
		WarmupAnswers: s.WarmupAnswers, MaxQueued: s.MaxQueued, Priority: s.Priority, RoutineInterval: s.RoutineInterval,
		EarlyRefusal: s.EarlyRefusal, FairQueueing: s.FairQueueing,
		AdaptiveLimit: s.AdaptiveLimit, RewarmAfterGap: s.RewarmAfterGap, OverrunMargin: s.OverrunMargin,
		StaleAfter: s.StaleAfter,
	}
}

func homeRules(s settings.Home) home.Config {
	return home.Config{
		MembershipLag: s.MembershipLag, HandoverGrace: s.HandoverGrace, MaxLegDuration: s.MaxLegDuration,
		OverrunMargin: s.OverrunMargin,
	}
}

// idBytes is how many random bytes make a request id.
const idBytes = 12

func newID() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:])

	return hex.EncodeToString(b[:])
}
