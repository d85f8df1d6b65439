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

// Status is the state of all daemons, merged from their replies.
type Status struct {
	Daemons []DaemonStatus
	// StoreReachable is set if this daemon's last call to the store succeeded.
	StoreReachable bool
	// Revision is the highest revision of any daemon.
	Revision int64
	// UpstreamCounts counts the upstreams by state.
	UpstreamCounts map[string]int
	// RunningLegs is the average number of legs that run at upstreams, by service.
	RunningLegs map[string]float64
}

// DaemonStatus is the state of one daemon.
type DaemonStatus struct {
	Name            string
	Zone            string
	State           string
	OperatorAddress string
	Revision        int64
	Incarnation     uint64
	// StateSince is when the state began, by the clock of the daemon that was queried.
	StateSince clock.Milli
	// Answered is set if the daemon itself replied to this query.
	Answered bool
}

// statusTimeout is how long the other daemons have to reply.
const statusTimeout = 700 * clock.Millisecond

// Status queries all daemons. Those that do not reply in time are included as this daemon knows them.
func (c *Control) Status(ctx context.Context) Status {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout.Duration())
	defer cancel()
	replies := make(chan statusQuery, 1)
	c.post(statusRequest{replies})
	var a statusQuery
	select {
	case a = <-replies:
	case <-ctx.Done():
		return Status{}
	}
	defer c.forgetQuery(a.id)
	status := Status{
		StoreReachable: c.store.reachable.Load(), UpstreamCounts: make(map[string]int), RunningLegs: make(map[string]float64),
	}
	for _, e := range a.entries {
		status.Daemons = append(status.Daemons, DaemonStatus{
			Name: e.Member.Name, Zone: e.Member.Zone, State: e.State.String(), Revision: e.Revision,
			OperatorAddress: e.Member.OperatorAddress,
			Incarnation:     e.Incarnation, StateSince: e.Since,
		})
		status.Revision = max(status.Revision, e.Revision)
	}
	status.merge(*a.own)
	for range a.sent {
		select {
		case s := <-a.answers:
			status.merge(s)
		case <-ctx.Done():
			return status
		}
	}

	return status
}

func (s *Status) merge(reply peer.Status) {
	for i := range s.Daemons {
		if s.Daemons[i].Name == reply.Name && !s.Daemons[i].Answered {
			s.Daemons[i].Revision, s.Daemons[i].Answered = reply.Revision, true
			s.Revision = max(s.Revision, reply.Revision)
			for state, n := range reply.Upstreams {
				s.UpstreamCounts[state] += n
			}
			for service, n := range reply.Running {
				s.RunningLegs[service] += n
			}
		}
	}
}

// statusRequest is the message that starts a status query on the control thread.
type statusRequest struct{ replies chan statusQuery }

type statusQuery struct {
	id      uint64
	entries []member.Entry
	own     *peer.Status
	sent    int
	answers chan peer.Status
}

func (e statusRequest) apply(c *Control) {
	a := statusQuery{entries: append(c.view.Others(), c.view.Self()), own: c.ownStatus(0)}
	a.answers = make(chan peer.Status, len(a.entries))
	c.mu.Lock()
	c.lastQueryID++
	a.id = c.lastQueryID
	c.queryReplies[a.id] = a.answers
	c.mu.Unlock()
	for _, o := range c.view.Others() {
		if o.State != member.Dead {
			a.sent++
			c.opts.SendMessage(o.Member, peer.ControlMessage{StatusRequest: a.id})
		}
	}
	e.replies <- a
}

func (c *Control) deliverReply(s peer.Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case c.queryReplies[s.RequestID] <- s:
	default:
	}
}

func (c *Control) forgetQuery(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.queryReplies, id)
}

// ownStatus returns this daemon's reply to the query id.
func (c *Control) ownStatus(id uint64) *peer.Status {
	s := &peer.Status{
		RequestID: id, Name: c.opts.Self.Name, Revision: c.spread.Current().Revision(),
		StoreReachable: c.store.reachable.Load(), Upstreams: make(map[string]int), Running: make(map[string]float64),
	}
	if c.table == nil {
		return s
	}
	cfg := c.spread.Current().Config
	for _, service := range cfg.Services {
		for _, v := range service.Versions {
			for _, u := range v.Upstreams {
				if c.table.Home(u.Name) != c.opts.Self.Name {
					continue
				}
				s.Upstreams[c.upstreamState(cfg, u)]++
				s.Running[service.Name] += c.averageLoad(u)
			}
		}
	}

	return s
}

// averageLoad returns the average number of legs that run at an upstream. An upstream that has sent
// no report since this daemon became its home counts as full.
func (c *Control) averageLoad(u config.Upstream) float64 {
	if running, ok := c.runningLegs[u.Name]; ok {
		return running
	}

	return float64(u.Slots)
}

func (c *Control) upstreamState(cfg config.Config, u config.Upstream) string {
	o, found := c.observations[u.Name]
	switch {
	case cfg.ZoneOut(u.Zone):
		return "out"
	case !found || o.gone:
		return "gone"
	case o.holding.Draining || u.Drain || c.leavingInstances[u.Name]:
		return "leaving"
	default:
		return "live"
	}
}

// reasonOf returns the reason of a refusal, or "" for any other error.
func reasonOf(err error) reason.Code {
	var r *reason.Refusal
	if errors.As(err, &r) {
		return r.Reason
	}

	return ""
}
