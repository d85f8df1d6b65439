package admit

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/reason"
)

// state is what is believed about the upstream from its own answers.
type state struct {
	cold bool
	// hinted is set while the upstream itself says that it is cold.
	hinted bool
	// row counts good answers in a row, and slow the slow answers in a row.
	row  int
	slow int
	// bears and slots are the lowest of the configured and the reported figures.
	bears int
	slots int
	// limit is the adaptive limit on legs that run at once.
	limit float64
	// service is the recent latency and base the usual one.
	service clock.Milli
	base    clock.Milli
	// heard is when the upstream was last heard, lowered when the limit was last lowered, and chilled
	// when the upstream was last taken to be cold.
	heard       clock.Milli
	lowered     clock.Milli
	chilled     clock.Milli
	incarnation string
}

// The weights and thresholds of the latency figures. The limit follows the additive increase and
// multiplicative decrease of Chiu and Jain.
const (
	serviceWeight = 0.2
	baseWeight    = 0.02
	// A latency above jumpFactor times the usual one plus jumpSlack is slow, and jumpRow slow ones
	// in a row are a gap: one straggler is not.
	jumpFactor = 4
	jumpSlack  = 2 * clock.Millisecond
	jumpRow    = 3
	// decrease is what the limit is multiplied by after an error.
	decrease = 0.5
)

func (s *state) chill(limits Limits) {
	s.cold = true
	s.row, s.slow = 0, 0
	s.bears, s.slots = limits.Bears, limits.Slots
	s.limit = float64(limits.Bears)
}

func (s *state) allowed(policy *Policy, limits Limits) int {
	switch {
	case s.cold:
		return min(s.bears, limits.Bears)
	case !policy.Adapt:
		return limits.Slots
	default:
		return max(1, min(int(s.limit), s.slots, limits.Slots))
	}
}

// Chill takes the upstream to be cold from now on, for a reason that the caller observed.
func (q *Queue) Chill(now clock.Milli, why reason.Code) []Action {
	q.begin()
	q.chill(now, why)

	return q.actions
}

func (q *Queue) chill(now clock.Milli, why reason.Code) {
	if !q.policy.Guard {
		return
	}
	was := q.state.cold
	q.state.chill(q.limits)
	q.state.chilled = now
	if !was {
		q.actions = append(q.actions, Action{Kind: Chilled, Reason: why})
	}
}

// Report takes what the upstream said of itself outside of an answer.
func (q *Queue) Report(now clock.Milli, incarnation string, load leg.Load) []Action {
	q.begin()
	q.heard(now, incarnation, load)
	q.next(now)

	return q.actions
}

// heard takes the incarnation and the load that came with an answer or a report. A report lowers
// the limits at once; only good answers raise them.
func (q *Queue) heard(now clock.Milli, incarnation string, load leg.Load) {
	s := &q.state
	s.heard = now
	if incarnation != "" && incarnation != s.incarnation {
		if s.incarnation != "" {
			q.chill(now, reason.Incarnation)
		}
		s.incarnation = incarnation
		q.buried(incarnation)
	}
	s.hinted = load.Cold
	if load.Cold && !s.cold {
		q.chill(now, reason.Report)
	}
	if load.Bears > 0 {
		s.bears = min(s.bears, load.Bears)
	}
	if load.Slots > 0 {
		s.slots = min(q.limits.Slots, load.Slots)
		s.limit = min(s.limit, float64(s.slots))
	}
}

// buried forgets the lost legs that were sent to a process which the new one replaced.
func (q *Queue) buried(incarnation string) {
	for i := len(q.running) - 1; i >= 0; i-- {
		if r := &q.running[i]; r.lost && r.incarnation != "" && r.incarnation != incarnation {
			q.forget(i)
		}
	}
}

// good takes a good answer to a leg that was sent at an instant. One sent before the upstream was
// last taken to be cold proves nothing about it now.
func (q *Queue) good(now, sent clock.Milli) {
	s := &q.state
	latency := now - sent
	if s.base == 0 {
		s.base, s.service = latency, latency
	}
	if latency > jumpFactor*s.base+jumpSlack {
		s.slow++
	} else {
		s.slow = 0
		s.base += (latency - s.base) * baseWeight
	}
	s.service += (latency - s.service) * serviceWeight
	if s.slow >= jumpRow {
		s.base = latency
		q.chill(now, reason.Latency)

		return
	}
	if sent >= s.chilled {
		q.raise()
	}
}

// raise moves the limit up by one for each limit's worth of good answers, and ends a cold start
// once enough good answers came in a row and the upstream does not claim to be cold.
func (q *Queue) raise() {
	s := &q.state
	s.row++
	if s.cold {
		if s.row < q.policy.Warm || s.hinted {
			return
		}
		s.cold = false
		s.limit = float64(q.limits.Bears)
		q.actions = append(q.actions, Action{Kind: Warmed})
	}
	s.limit = min(s.limit+1/s.limit, float64(min(s.slots, q.limits.Slots)))
}

// failed takes a leg that got no answer.
func (q *Queue) failed(now clock.Milli, r running, o Outcome) {
	s := &q.state
	switch o.Result.Refusal.Reason {
	case reason.Overload, reason.Failed:
		s.row = 0
		q.lower(now)
	case reason.Connection:
		q.chill(now, reason.Connection)
	case reason.Silent:
		q.chill(now, reason.Silent)
	case reason.Deadline:
		s.row = 0
		if !o.Finished && s.heard < r.sent {
			q.chill(now, reason.Silent)
		}
	default:
		// The other reasons say nothing about the upstream's health.
	}
}

// lower halves the limit, at most once in the time that a leg takes.
func (q *Queue) lower(now clock.Milli) {
	s := &q.state
	if now-s.lowered < s.service {
		return
	}
	s.lowered = now
	s.limit = max(1, s.limit*decrease)
}
