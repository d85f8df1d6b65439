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
type observation struct {
	holding route.Holding
	gone    bool
}

// holding is a word on an upstream that waits to be passed on.
type update struct {
	observation
	from string
}

// holding returns what an upstream holds that is not gone.
func (c *Control) holding(name string) (route.Holding, bool) {
	o, ok := c.observations[name]
	o.holding.Draining = o.holding.Draining || c.leavingInstances[name]

	return o.holding, ok && !o.gone
}

// reportTime bounds the wait for an upstream's report.
const reportTimeout = time.Second

// poll asks each upstream that this daemon is home to about itself.
func (c *Control) poll() {
	if c.table == nil {
		return
	}
	c.table.Homed(c.opts.Self.Name, func(u config.Upstream) {
		if c.polling[u.Name] {
			return
		}
		c.polling[u.Name] = true
		go func() {
			ctx, cancel := context.WithTimeout(c.ctx, reportTimeout)
			defer cancel()
			r, err := c.opts.Report(ctx, u)
			c.post(upstreamReport{u.Name, r, err})
		}()
	})
}

// reported brings an upstream's report.
type upstreamReport struct {
	name   string
	report upstream.Report
	err    error
}

// failuresGone is how many reports in a row must fail before an upstream counts as gone.
const goneAfterFailures = 2

// loadWeight is the weight of the newest report in the average of running legs.
const loadWeight = 0.1

// An upstream that was seen leaving stays so until its next incarnation, whatever a lagging report
// says.
func (e upstreamReport) apply(c *Control) {
	delete(c.polling, e.name)
	c.reportFailures[e.name]++
	if e.err == nil {
		c.reportFailures[e.name] = 0
	}
	if n := c.reportFailures[e.name]; n > 0 && n < goneAfterFailures {
		return
	}
	old := c.observations[e.name]
	draining := old.holding.Draining && old.holding.Incarnation == e.report.Incarnation
	running := float64(e.report.Load.Running)
	if average, ok := c.runningLegs[e.name]; ok {
		running = average + loadWeight*(running-average)
	}
	c.runningLegs[e.name] = running
	c.observe(observation{route.Holding{
		Upstream: e.name, Version: e.report.Version, Incarnation: e.report.Incarnation,
		Draining: e.report.Load.Draining || draining, Snapshots: e.report.Snapshots,
	}, e.err != nil})
}

// observe takes what this daemon itself saw of an upstream. News gets a stamp above all before.
func (c *Control) observe(o observation) {
	old, found := c.observations[o.holding.Upstream]
	if (found && old.gone == o.gone && (o.gone || equalHoldings(old.holding, o.holding))) || (!found && o.gone) {
		return
	}
	o.holding.Stamp = max(old.holding.Stamp+1, uint64(c.opts.Now()))
	c.setObservation(o, "")
}

// Draining says that an answer of the upstream said it is leaving.
func (c *Control) Draining(name string) {
	if !c.closed.Load().upstreams[name] {
		c.post(upstreamDraining{name})
	}
}

type upstreamDraining struct{ name string }

func (e upstreamDraining) apply(c *Control) {
	if o, ok := c.observations[e.name]; ok && !o.gone {
		o.holding.Draining = true
		c.observe(o)
	}
}

// Heard takes what another daemon says of an upstream.
func (c *Control) Heard(from string, h route.Holding, gone bool) {
	c.post(receivedHolding{update{observation{h, gone}, from}})
}

type receivedHolding struct{ update }

func (e receivedHolding) apply(c *Control) {
	if e.observation.holding.Stamp > c.observations[e.observation.holding.Upstream].holding.Stamp {
		c.setObservation(e.observation, e.from)
	}
}

// hold takes news of an upstream and passes it on.
func (c *Control) setObservation(o observation, from string) {
	name := o.holding.Upstream
	old, found := c.observations[name]
	c.observations[name] = o
	c.pendingUpdates = append(c.pendingUpdates, update{o, from})
	c.changedUpstreams = append(c.changedUpstreams, name)
	c.dirty, c.closedDirty = true, c.closedDirty || o.holding.Draining != old.holding.Draining
	if o.gone != old.gone || !found || o.holding.Draining != old.holding.Draining ||
		o.holding.Incarnation != old.holding.Incarnation {
		c.opts.Record(event.Event{Kind: event.Upstream, Reason: observationReason(o), Upstream: name, Version: o.holding.Version})
	}
}

func observationReason(o observation) reason.Word {
	switch {
	case o.gone:
		return reason.Connection
	case o.holding.Draining:
		return reason.Draining
	default:
		return ""
	}
}

// flush passes news of upstreams on to the near daemons, which do the same.
func (c *Control) flushUpdates() {
	if len(c.pendingUpdates) == 0 {
		return
	}
	near := c.neighbourNames()
	for _, h := range c.pendingUpdates {
		for _, name := range near {
			if name != h.from {
				c.opts.Tell(name, h.holding, h.gone)
			}
		}
	}
	c.pendingUpdates = nil
}

func equalHoldings(a, b route.Holding) bool {
	return a.Version == b.Version && a.Incarnation == b.Incarnation && a.Draining == b.Draining &&
		slices.EqualFunc(a.Snapshots, b.Snapshots, func(x, y route.Held) bool {
			return x.Name == y.Name && x.Order == y.Order && x.Total == y.Total && slices.Equal(x.Shards, y.Shards)
		})
}

// closedTo is the upstreams and zones that get no new work.
type closedSet struct {
	upstreams map[string]bool
	zones     map[string]bool
}

func (c *Control) publishClosed(cfg config.Config) {
	closed := &closedSet{upstreams: make(map[string]bool), zones: make(map[string]bool)}
	for _, z := range cfg.Zones {
		if z.Out {
			closed.zones[z.Name] = true
		}
	}
	for name, o := range c.observations {
		if o.holding.Draining || c.leavingInstances[name] {
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
		return reason.New(reason.Home, reason.No, "this daemon may have been replaced as home")
	case closed.zones[u.Zone]:
		return reason.New(reason.Zone, reason.No, u.Zone+" is out")
	case closed.upstreams[u.Name]:
		return reason.New(reason.Draining, reason.No, u.Name+" is leaving")
	default:
		return nil
	}
}
