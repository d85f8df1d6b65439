package check

import (
	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/standin/registered"
)

// attemptsTolerance is the number of requests that may be executed by more upstreams than their
// route allows.
const attemptsTolerance = 3

// checkAttempts checks that a request is executed by no more upstreams of a service than its route allows.
func (c *checker) checkAttempts() {
	exceeded := 0
	for id, runs := range c.runs {
		req := c.requests[id]
		if req == nil {
			continue
		}
		ranAt := make(map[string]map[string]bool)
		for _, r := range runs {
			// An execution whose connection was closed before its end does not count.
			if !r.Executed || r.Cancelled {
				continue
			}
			if ranAt[r.Options.Service] == nil {
				ranAt[r.Options.Service] = make(map[string]bool)
			}
			ranAt[r.Options.Service][r.Options.ID] = true
		}
		for service, upstreams := range ranAt {
			if len(upstreams) <= req.Route.Attempts {
				continue
			}
			if exceeded++; exceeded > attemptsTolerance {
				c.reportf(req.Sent, "%s was executed by %d upstreams of %s, %d allowed",
					id, len(upstreams), service, req.Route.Attempts)
			}
		}
	}
}

// windowStep is the time between the starts of successive windows that are checked.
const windowStep = 500 * clock.Millisecond

// checkRetryBudget checks that all daemons together send no more retries and hedges than the budget allows.
func (c *checker) checkRetryBudget() {
	type arrivals struct{ first, extra []clock.Milli }
	services := make(map[string]*arrivals)
	seen := make(map[string]bool)
	for i := range c.Runs {
		r := &c.Runs[i]
		s := services[r.Options.Service]
		if s == nil {
			s = &arrivals{}
			services[r.Options.Service] = s
		}
		key := r.Options.Service + " " + r.ID
		if seen[key] {
			s.extra = append(s.extra, r.Arrived)
		} else {
			s.first = append(s.first, r.Arrived)
		}
		seen[key] = true
	}
	for name, s := range services {
		for from := clock.Milli(0); from < c.End; from += windowStep {
			to := from + c.Bounds.RetryWindow
			extra := countWithin(s.extra, from, to)
			// Initial sends of the previous window count instead if there were more of them.
			first := max(countWithin(s.first, from, to), countWithin(s.first, from-c.Bounds.RetryWindow, from))
			if allowed := c.Bounds.RetryRatio*float64(first) + c.Bounds.RetrySlack; float64(extra) > allowed {
				c.reportf(from, "%s: %d extra sends, %.0f allowed", name, extra, allowed)

				break
			}
		}
	}
}

func countWithin(list []clock.Milli, from, to clock.Milli) int {
	n := 0
	for _, at := range list {
		if at >= from && at < to {
			n++
		}
	}

	return n
}

// checkDrains checks that no request is sent to a draining upstream, nor to the upstreams of an
// evacuated zone.
func (c *checker) checkDrains() {
	for i := range c.Runs {
		r := &c.Runs[i]
		req := c.requests[r.ID]
		if req == nil || r.Options.ID != r.ExpectedID {
			continue
		}
		for k := range c.Removals {
			rm := &c.Removals[k]
			if rm.late(r, c.Bounds) && c.stableWithin(req.Daemon, rm.At, r.Arrived) {
				c.reportf(r.Arrived, "%s reached %s, removed from service at %.0f ms", r.ID, r.Options.ID, float64(rm.At))
			}
		}
	}
}

// late reports whether a request reached an upstream after the time allowed for its removal.
func (rm *Removal) late(r *registered.Request, b Bounds) bool {
	if rm.Upstream != "" {
		return rm.Upstream == r.Options.ID && r.Arrived > rm.At+b.Drain
	}

	return rm.Zone == r.Options.Zone && r.Arrived > rm.At+b.Evacuate && (rm.Until == 0 || r.Arrived < rm.Until)
}

// badVersionFailures is the number of failures after which the daemons must have detected a bad version.
const badVersionFailures = 50

// checkRollouts checks that a bad version gets few requests, and that rollouts end with the
// expected outcome.
func (c *checker) checkRollouts() {
	for i := range c.Rollouts {
		ro := &c.Rollouts[i]
		if ro.Bad {
			c.checkBadVersion(ro)
		}
		if want := ro.expectedOutcome(); ro.Outcome != want && c.undisturbed(ro.At, ro.Deadline) {
			c.reportf(ro.Deadline, "rollout of %s to %s ended as %q, want %q", ro.Service, ro.Version, ro.Outcome, want)
		}
	}
}

// checkBadVersion checks that a bad version gets few requests, and none once it must have been detected.
func (c *checker) checkBadVersion(ro *Rollout) {
	var total, target, failed int
	var foundAt clock.Milli
	for i := range c.Runs {
		r := &c.Runs[i]
		req := c.requests[r.ID]
		if req == nil || r.Options.Service != ro.Service || r.Arrived < ro.At || r.Arrived > ro.Deadline {
			continue
		}
		total++
		if r.Options.Version != ro.Version {
			continue
		}
		target++
		if foundAt > 0 && req.Sent > foundAt+c.Bounds.Rollback && c.stableWithin(req.Daemon, ro.At, r.Arrived) {
			c.reportf(r.Arrived, "%s reached version %s of %s after it must have been detected as bad",
				r.ID, ro.Version, ro.Service)
		}
		if !r.OK {
			failed++
		}
		if failed == badVersionFailures && foundAt == 0 {
			foundAt = r.Ended
		}
	}
	if float64(target) > c.Bounds.CanaryShare*float64(total)+float64(c.Bounds.CanarySlack) {
		c.reportf(ro.At, "%s: %d of %d requests reached the bad version", ro.Service, target, total)
	}
}

// expectedOutcome returns the stage in which the rollout should end.
func (ro *Rollout) expectedOutcome() catalog.Stage {
	if ro.Bad && !ro.OrderedBack {
		return catalog.RolledBack
	}

	return catalog.Completed
}

// undisturbed reports whether no daemon or upstream was disturbed between two instants.
func (c *checker) undisturbed(from, to clock.Milli) bool {
	for _, list := range [][]Disturbance{c.DaemonDisturbances, c.UpstreamDisturbances} {
		for i := range list {
			if list[i].From <= to && from < list[i].To {
				return false
			}
		}
	}

	return true
}
