package control

import (
	"context"
	"slices"
	"time"

	"jacinthferry/core/config"
	"jacinthferry/core/event"
	"jacinthferry/core/reason"
	"jacinthferry/core/route"
	"jacinthferry/io/upstream"
)

// known is what was last heard of an upstream.
type known struct {
	holding route.Holding
	gone    bool
}

// holding is a word on an upstream that waits to be passed on.
type holding struct {
	known
	from string
}

// holding returns what an upstream holds that is not gone.
func (c *Control) holding(name string) (route.Holding, bool) {
	k, ok := c.known[name]
	k.holding.Draining = k.holding.Draining || c.listed[name]

	return k.holding, ok && !k.gone
}

// reportTime bounds the wait for an upstream's report.
const reportTime = time.Second

// poll asks each upstream that this daemon is home to about itself.
func (c *Control) poll() {
	if c.table == nil {
		return
	}
	c.table.Homed(c.ports.Self.Name, func(u config.Upstream) {
		if c.polling[u.Name] {
			return
		}
		c.polling[u.Name] = true
		go func() {
			ctx, cancel := context.WithTimeout(c.ctx, reportTime)
			defer cancel()
			r, err := c.ports.Report(ctx, u)
			c.post(reported{u.Name, r, err})
		}()
	})
}

// reported brings an upstream's report.
type reported struct {
	name   string
	report upstream.Report
	err    error
}

// failuresGone is how many reports in a row must fail before an upstream counts as gone.
const failuresGone = 2

// loadWeight is the weight of the newest report in the average of running legs.
const loadWeight = 0.1

// An upstream that was seen leaving stays so until its next incarnation, whatever a lagging report
// says.
func (e reported) apply(c *Control) {
	delete(c.polling, e.name)
	c.failed[e.name]++
	if e.err == nil {
		c.failed[e.name] = 0
	}
	if n := c.failed[e.name]; n > 0 && n < failuresGone {
		return
	}
	old := c.known[e.name]
	drains := old.holding.Draining && old.holding.Incarnation == e.report.Incarnation
	running := float64(e.report.Load.Running)
	if average, ok := c.running[e.name]; ok {
		running = average + loadWeight*(running-average)
	}
	c.running[e.name] = running
	c.observe(known{route.Holding{
		Upstream: e.name, Version: e.report.Version, Incarnation: e.report.Incarnation,
		Draining: e.report.Load.Draining || drains, Snapshots: e.report.Snapshots,
	}, e.err != nil})
}

// observe takes what this daemon itself saw of an upstream. News gets a stamp above all before.
func (c *Control) observe(k known) {
	old, had := c.known[k.holding.Upstream]
	if (had && old.gone == k.gone && (k.gone || same(old.holding, k.holding))) || (!had && k.gone) {
		return
	}
	k.holding.Stamp = max(old.holding.Stamp+1, uint64(c.ports.Now()))
	c.hold(k, "")
}

// Draining says that an answer of the upstream said it is leaving.
func (c *Control) Draining(name string) {
	if !c.closed.Load().upstreams[name] {
		c.post(drained{name})
	}
}

type drained struct{ name string }

func (e drained) apply(c *Control) {
	if k, ok := c.known[e.name]; ok && !k.gone {
		k.holding.Draining = true
		c.observe(k)
	}
}

// Heard takes what another daemon says of an upstream.
func (c *Control) Heard(from string, h route.Holding, gone bool) {
	c.post(heard{holding{known{h, gone}, from}})
}

type heard struct{ holding }

func (e heard) apply(c *Control) {
	if e.known.holding.Stamp > c.known[e.known.holding.Upstream].holding.Stamp {
		c.hold(e.known, e.from)
	}
}

// hold takes news of an upstream and passes it on.
func (c *Control) hold(k known, from string) {
	name := k.holding.Upstream
	old, had := c.known[name]
	c.known[name] = k
	c.outgoing = append(c.outgoing, holding{k, from})
	c.news = append(c.news, name)
	c.dirty, c.closing = true, c.closing || k.holding.Draining != old.holding.Draining
	if k.gone != old.gone || !had || k.holding.Draining != old.holding.Draining ||
		k.holding.Incarnation != old.holding.Incarnation {
		c.ports.Record(event.Event{Kind: event.Upstream, Reason: why(k), Upstream: name, Version: k.holding.Version})
	}
}

func why(k known) reason.Code {
	switch {
	case k.gone:
		return reason.Connection
	case k.holding.Draining:
		return reason.Draining
	default:
		return ""
	}
}

// flush passes news of upstreams on to the near daemons, which do the same.
func (c *Control) flush() {
	if len(c.outgoing) == 0 {
		return
	}
	near := c.nearNames()
	for _, h := range c.outgoing {
		for _, name := range near {
			if name != h.from {
				c.ports.Tell(name, h.holding, h.gone)
			}
		}
	}
	c.outgoing = nil
}

func same(a, b route.Holding) bool {
	return a.Version == b.Version && a.Incarnation == b.Incarnation && a.Draining == b.Draining &&
		slices.EqualFunc(a.Snapshots, b.Snapshots, func(x, y route.Held) bool {
			return x.Name == y.Name && x.Order == y.Order && x.Total == y.Total && slices.Equal(x.Shards, y.Shards)
		})
}

// closedTo is the upstreams and zones that get no new work.
type closedTo struct {
	upstreams map[string]bool
	zones     map[string]bool
}

func (c *Control) publishClosed(cfg config.Config) {
	closed := &closedTo{upstreams: make(map[string]bool), zones: make(map[string]bool)}
	for _, z := range cfg.Zones {
		if z.Out {
			closed.zones[z.Name] = true
		}
	}
	for name, k := range c.known {
		if k.holding.Draining || c.listed[name] {
			closed.upstreams[name] = true
		}
	}
	for _, s := range cfg.Services {
		for _, v := range s.Versions {
			for _, u := range v.Upstreams {
				if u.Drain {
					closed.upstreams[u.Name] = true
				}
			}
		}
	}
	c.closed.Store(closed)
}

// Allow is asked just before work is sent to an upstream. It returns nil, or why that must not be.
func (c *Control) Allow(u config.Upstream) *reason.Refusal {
	closed := c.closed.Load()
	switch _, holds := c.Standing(); {
	case !holds:
		return reason.NewRefusal(reason.Home, reason.NotExecuted, "this daemon may have been replaced as home")
	case closed.zones[u.Zone]:
		return reason.NewRefusal(reason.Zone, reason.NotExecuted, u.Zone+" is out")
	case closed.upstreams[u.Name]:
		return reason.NewRefusal(reason.Draining, reason.NotExecuted, u.Name+" is leaving")
	default:
		return nil
	}
}
