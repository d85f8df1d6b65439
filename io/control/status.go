package control

import (
	"context"

	"github.com/pkg/errors"

	"jacinthferry/core/clock"
	"jacinthferry/core/config"
	"jacinthferry/core/member"
	"jacinthferry/core/reason"
	"jacinthferry/io/peer"
)

// Status is what the daemons together say of themselves.
type Status struct {
	Daemons []DaemonStatus
	// Reachable is set while this daemon's last call to the store succeeded.
	Reachable bool
	// Revision is the highest that any daemon has.
	Revision int64
	// Upstreams counts the upstreams by state.
	Upstreams map[string]int
	// Running is how many legs run at upstreams, by service.
	Running map[string]float64
}

// DaemonStatus is what is known of one daemon.
type DaemonStatus struct {
	Name        string
	Zone        string
	State       string
	Operator    string
	Revision    int64
	Incarnation uint64
	// Since is when the state began, by the clock of the daemon that was asked.
	Since clock.Milli
	// Answered is set when the daemon itself answered just now.
	Answered bool
}

// statusTime is how long the other daemons have to answer.
const statusTime = 700 * clock.Millisecond

// Status asks all daemons about themselves.
func (c *Control) Status(ctx context.Context) Status {
	ctx, cancel := context.WithTimeout(ctx, statusTime.Duration())
	defer cancel()
	replies := make(chan asked, 1)
	c.post(ask{replies})
	var a asked
	select {
	case a = <-replies:
	case <-ctx.Done():
		return Status{}
	}
	defer c.forget(a.number)
	status := Status{
		Reachable: c.store.reachable.Load(), Upstreams: make(map[string]int), Running: make(map[string]float64),
	}
	for _, e := range a.entries {
		status.Daemons = append(status.Daemons, DaemonStatus{
			Name: e.Member.Name, Zone: e.Member.Zone, State: e.State.String(), Revision: e.Revision,
			Operator:    e.Member.OperatorAddress,
			Incarnation: e.Incarnation, Since: e.Since,
		})
		status.Revision = max(status.Revision, e.Revision)
	}
	status.add(*a.own)
	for range a.sent {
		select {
		case s := <-a.answers:
			status.add(s)
		case <-ctx.Done():
			return status
		}
	}

	return status
}

func (s *Status) add(one peer.Status) {
	for i := range s.Daemons {
		if s.Daemons[i].Name == one.Name && !s.Daemons[i].Answered {
			s.Daemons[i].Revision, s.Daemons[i].Answered = one.Revision, true
			s.Revision = max(s.Revision, one.Revision)
			for state, n := range one.Upstreams {
				s.Upstreams[state] += n
			}
			for service, n := range one.Running {
				s.Running[service] += n
			}
		}
	}
}

// ask begins a Status on the control thread.
type ask struct{ replies chan asked }

type asked struct {
	number  uint64
	entries []member.Entry
	own     *peer.Status
	sent    int
	answers chan peer.Status
}

func (e ask) apply(c *Control) {
	a := asked{entries: append(c.view.Others(), c.view.Self()), own: c.status(0)}
	a.answers = make(chan peer.Status, len(a.entries))
	c.mu.Lock()
	c.asks++
	a.number = c.asks
	c.replies[a.number] = a.answers
	c.mu.Unlock()
	for _, o := range c.view.Others() {
		if o.State != member.Dead {
			a.sent++
			c.ports.Send(o.Member, peer.Control{Ask: a.number})
		}
	}
	e.replies <- a
}

func (c *Control) replied(s peer.Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case c.replies[s.Ask] <- s:
	default:
	}
}

func (c *Control) forget(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.replies, number)
}

// status is this daemon's part of a Status.
func (c *Control) status(number uint64) *peer.Status {
	s := &peer.Status{
		Ask: number, Name: c.ports.Self.Name, Revision: c.spread.Current().Revision(),
		Reachable: c.store.reachable.Load(), Upstreams: make(map[string]int), Running: make(map[string]float64),
	}
	if c.table == nil {
		return s
	}
	cfg := c.spread.Current().Config
	for _, service := range cfg.Services {
		for _, v := range service.Versions {
			for _, u := range v.Upstreams {
				if c.table.Home(u.Name) != c.ports.Self.Name {
					continue
				}
				s.Upstreams[c.upstreamState(cfg, u)]++
				s.Running[service.Name] += c.load(u)
			}
		}
	}

	return s
}

// load is how many legs run at an upstream on average. One that was not asked yet since this daemon
// became its home counts as full.
func (c *Control) load(u config.Upstream) float64 {
	if running, ok := c.running[u.Name]; ok {
		return running
	}

	return float64(u.Slots)
}

func (c *Control) upstreamState(cfg config.Config, u config.Upstream) string {
	k, heard := c.known[u.Name]
	switch {
	case cfg.Out(u.Zone):
		return "out"
	case !heard || k.gone:
		return "gone"
	case k.holding.Draining || u.Drain || c.listed[u.Name]:
		return "leaving"
	default:
		return "live"
	}
}

// reasonOf returns the reason of a refusal, or "" for another error.
func reasonOf(err error) reason.Code {
	var r *reason.Refusal
	if errors.As(err, &r) {
		return r.Reason
	}

	return ""
}
