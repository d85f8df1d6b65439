package admit

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/reason"
)

// state is the state of the upstream as inferred from its answers and reports.
type state struct {
	cold bool
	// reportsCold is set while the upstream reports that it is cold.
	reportsCold bool
	// successStreak counts consecutive successful answers, and slowStreak consecutive slow ones.
	successStreak int
	slowStreak    int
	// coldLimit and slots are the lower of the configured and the reported values.
	coldLimit int
	slots     int
	// limit is the adaptive concurrency limit.
	limit float64
	// serviceTime is the moving average of the recent latency, and baseline that of the usual latency.
	serviceTime clock.Milli
	baseline    clock.Milli
	// lastContact is when the upstream last answered or reported, decreasedAt when the limit was last
	// decreased, and coldSince when the upstream was last marked cold.
	lastContact clock.Milli
	decreasedAt clock.Milli
	coldSince   clock.Milli
	incarnation string
}

// The weights and thresholds of the latency averages. The limit follows the additive increase and
// multiplicative decrease (AIMD) of Chiu and Jain.
const (
	serviceTimeWeight = 0.2
	baselineWeight    = 0.02
	// A latency above slowFactor times the usual one plus slowMargin is slow. maxSlowStreak consecutive
	// slow answers mark the upstream cold: one straggler does not.
	slowFactor    = 4
	slowMargin    = 2 * clock.Millisecond
	maxSlowStreak = 3
	// decreaseFactor is the factor by which the limit is multiplied after an error.
	decreaseFactor = 0.5
)

func (s *state) markCold(limits Limits) {
	s.cold = true
	s.successStreak, s.slowStreak = 0, 0
	s.coldLimit, s.slots = limits.ColdLimit, limits.Slots
	s.limit = float64(limits.ColdLimit)
}

func (s *state) concurrencyLimit(policy *Policy, limits Limits) int {
	switch {
	case s.cold:
		return min(s.coldLimit, limits.ColdLimit)
	case !policy.AdaptiveLimit:
		return limits.Slots
	default:
		return max(1, min(int(s.limit), s.slots, limits.Slots))
	}
}

// MarkCold marks the upstream cold for a reason that the caller observed. It has no effect if the policy
// does not make upstreams cold after a gap.
func (q *Queue) MarkCold(now clock.Milli, code reason.Code) []Action {
	q.resetActions()
	q.markCold(now, code)

	return q.actions
}

func (q *Queue) markCold(now clock.Milli, code reason.Code) {
	if !q.policy.RewarmAfterGap {
		return
	}
	wasCold := q.state.cold
	q.state.markCold(q.limits)
	q.state.coldSince = now
	if !wasCold {
		q.actions = append(q.actions, Action{Kind: MarkedCold, Reason: code})
	}
}

// HandleReport records the incarnation and the load that the upstream reported outside of an answer.
func (q *Queue) HandleReport(now clock.Milli, incarnation string, load leg.Load) []Action {
	q.resetActions()
	q.recordLoad(now, incarnation, load)
	q.dispatch(now)

	return q.actions
}

// recordLoad records the incarnation and the load from an answer or a report. They lower the limits
// at once; only successful answers raise them.
func (q *Queue) recordLoad(now clock.Milli, incarnation string, load leg.Load) {
	s := &q.state
	s.lastContact = now
	if incarnation != "" && incarnation != s.incarnation {
		if s.incarnation != "" {
			q.markCold(now, reason.Incarnation)
		}
		s.incarnation = incarnation
		q.removeReplaced(incarnation)
	}
	s.reportsCold = load.Cold
	if load.Cold && !s.cold {
		q.markCold(now, reason.Report)
	}
	if load.ColdLimit > 0 {
		s.coldLimit = min(s.coldLimit, load.ColdLimit)
	}
	if load.Slots > 0 {
		s.slots = min(q.limits.Slots, load.Slots)
		s.limit = min(s.limit, float64(s.slots))
	}
}

// removeReplaced frees the slots of lost legs whose process was replaced by the given incarnation.
func (q *Queue) removeReplaced(incarnation string) {
	for i := len(q.running) - 1; i >= 0; i-- {
		if r := &q.running[i]; r.lost && r.incarnation != "" && r.incarnation != incarnation {
			q.removeRunning(i)
		}
	}
}

// handleAnswer records a successful answer to a leg that was sent at the given time. The answer to a
// leg sent before the upstream was last marked cold says nothing about its present state.
func (q *Queue) handleAnswer(now, sent clock.Milli) {
	s := &q.state
	latency := now - sent
	if s.baseline == 0 {
		s.baseline, s.serviceTime = latency, latency
	}
	if latency > slowFactor*s.baseline+slowMargin {
		s.slowStreak++
	} else {
		s.slowStreak = 0
		s.baseline += (latency - s.baseline) * baselineWeight
	}
	s.serviceTime += (latency - s.serviceTime) * serviceTimeWeight
	if s.slowStreak >= maxSlowStreak {
		s.baseline = latency
		q.markCold(now, reason.Latency)

		return
	}
	if sent >= s.coldSince {
		q.increaseLimit()
	}
}

// increaseLimit raises the limit by one for each limit's worth of successful answers. It ends a cold
// start after enough consecutive successful answers, unless the upstream reports that it is cold.
func (q *Queue) increaseLimit() {
	s := &q.state
	s.successStreak++
	if s.cold {
		if s.successStreak < q.policy.WarmupAnswers || s.reportsCold {
			return
		}
		s.cold = false
		s.limit = float64(q.limits.ColdLimit)
		q.actions = append(q.actions, Action{Kind: WarmedUp})
	}
	s.limit = min(s.limit+1/s.limit, float64(min(s.slots, q.limits.Slots)))
}

// handleFailure records a leg that got no answer.
func (q *Queue) handleFailure(now clock.Milli, r runningLeg, o Outcome) {
	s := &q.state
	switch o.Result.Refusal.Reason {
	case reason.Overload, reason.Failed:
		s.successStreak = 0
		q.decreaseLimit(now)
	case reason.Connection:
		q.markCold(now, reason.Connection)
	case reason.Silent:
		q.markCold(now, reason.Silent)
	case reason.Deadline:
		s.successStreak = 0
		if !o.Finished && s.lastContact < r.sent {
			q.markCold(now, reason.Silent)
		}
	default:
		// The other reasons say nothing about the upstream's health.
	}
}

// decreaseLimit halves the limit, at most once within the time that a leg takes.
func (q *Queue) decreaseLimit(now clock.Milli) {
	s := &q.state
	if now-s.decreasedAt < s.serviceTime {
		return
	}
	s.decreasedAt = now
	s.limit = max(1, s.limit*decreaseFactor)
}
