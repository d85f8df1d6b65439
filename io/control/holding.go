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

// observation is the last known state of an upstream.
type observation struct {
	holding route.Holding
	gone    bool
}

// update is an observation that waits to be forwarded. The daemon that it came from, if any, does not
// get it back.
type update struct {
	observation
	from string
}

// holding returns what an upstream holds, or false if the upstream is unknown or gone.
func (c *Control) holding(name string) (route.Holding, bool) {
	o, ok := c.observations[name]
	o.holding.Draining = o.holding.Draining || c.leavingInstances[name]

	return o.holding, ok && !o.gone
}

// reportTimeout is the timeout of a request for an upstream's report.
const reportTimeout = time.Second

// poll requests a report from each upstream whose home is this daemon.
func (c *Control) poll() {
	if c.table == nil {
		return
	}
	c.table.ForEachOwned(c.opts.Self.Name, func(u config.Upstream) {
		if c.polling[u.Name] {
			return
		}
		c.polling[u.Name] = true
		go func() {
			ctx, cancel := context.WithTimeout(c.ctx, reportTimeout)
			defer cancel()
			r, err := c.opts.FetchReport(ctx, u)
			c.post(upstreamReport{u.Name, r, err})
		}()
	})
}

// upstreamReport is the message for an upstream's report or the failure to get one.
type upstreamReport struct {
	name   string
	report upstream.Report
	err    error
}

// goneAfterFailures is how many consecutive reports must fail before an upstream counts as gone.
const goneAfterFailures = 2

// loadWeight is the weight of the newest report in the moving average of running legs.
const loadWeight = 0.1

// An upstream that was seen draining stays so until its next incarnation, because a report can be
// out of date.
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

// observe handles what this daemon itself observed of an upstream. A change gets a higher stamp than
// all before it.
func (c *Control) observe(o observation) {
	old, found := c.observations[o.holding.Upstream]
	if (found && old.gone == o.gone && (o.gone || equalHoldings(old.holding, o.holding))) || (!found && o.gone) {
		return
	}
	o.holding.Sequence = max(old.holding.Sequence+1, uint64(c.opts.Now()))
	c.setObservation(o, "")
}

// HandleDraining reports that an answer of the upstream said that it is draining.
func (c *Control) HandleDraining(name string) {
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

// HandleHolding handles what the daemon from reports of an upstream: what it holds, and whether it is gone.
func (c *Control) HandleHolding(from string, h route.Holding, gone bool) {
	c.post(receivedHolding{update{observation{h, gone}, from}})
}

type receivedHolding struct{ update }

func (e receivedHolding) apply(c *Control) {
	if e.holding.Sequence > c.observations[e.holding.Upstream].holding.Sequence {
		c.setObservation(e.observation, e.from)
	}
}

// setObservation stores an observation and queues it to be forwarded to the neighbours except from.
func (c *Control) setObservation(o observation, from string) {
	name := o.holding.Upstream
	old, found := c.observations[name]
	c.observations[name] = o
	c.pendingUpdates = append(c.pendingUpdates, update{o, from})
	c.changedUpstreams = append(c.changedUpstreams, name)
	c.dirty, c.closedDirty = true, c.closedDirty || o.holding.Draining != old.holding.Draining
	if o.gone != old.gone || !found || o.holding.Draining != old.holding.Draining ||
		o.holding.Incarnation != old.holding.Incarnation {
		c.opts.RecordEvent(event.Event{
			Kind: event.Upstream, Reason: observationReason(o), Upstream: name, Version: o.holding.Version,
		})
	}
}

func observationReason(o observation) reason.Code {
	switch {
	case o.gone:
		return reason.Connection
	case o.holding.Draining:
		return reason.Draining
	default:
		return ""
	}
}

// flushUpdates sends the queued updates to the neighbours, which forward them in turn.
func (c *Control) flushUpdates() {
	if len(c.pendingUpdates) == 0 {
		return
	}
	neighbours := c.neighbourNames()
	for _, u := range c.pendingUpdates {
		for _, name := range neighbours {
			if name != u.from {
				c.opts.SendHolding(name, u.holding, u.gone)
			}
		}
	}
	c.pendingUpdates = nil
}

func equalHoldings(a, b route.Holding) bool {
	return a.Version == b.Version && a.Incarnation == b.Incarnation && a.Draining == b.Draining &&
		slices.EqualFunc(a.Snapshots, b.Snapshots, func(x, y route.HeldSnapshot) bool {
			return x.Name == y.Name && x.Order == y.Order && x.Total == y.Total && slices.Equal(x.Shards, y.Shards)
		})
}

// closedSet holds the upstreams and zones that get no new work.
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

// Allow returns why no work may be sent to an upstream, or nil if it may. It is to be called
// immediately before sending.
func (c *Control) Allow(u config.Upstream) *reason.Refusal {
	closed := c.closed.Load()
	switch _, holds := c.Membership(); {
	case !holds:
		return reason.NewRefusal(reason.Home, reason.NotExecuted, "this daemon may have been replaced as home")
	case closed.zones[u.Zone]:
		return reason.NewRefusal(reason.Zone, reason.NotExecuted, u.Zone+" is out of service")
	case closed.upstreams[u.Name]:
		return reason.NewRefusal(reason.Draining, reason.NotExecuted, u.Name+" is draining")
	default:
		return nil
	}
}
