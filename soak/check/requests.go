package check

import (
	"bytes"
	"math"
	"net/http"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/standin/registered"
)

// checkIntegrity checks that a successful response is complete, belongs to the request and states
// its coverage correctly.
func (c *checker) checkIntegrity() {
	for i := range c.Asks {
		a := &c.Asks[i]
		if a.status() < http.StatusOK || a.status() >= http.StatusMultipleChoices {
			continue
		}
		if a.Route.Gathers() {
			c.checkMerged(a)

			continue
		}
		stamp, ok := registered.ParseStamp(a.Answer.Stamp)
		if !ok || !stamp.Good || stamp.ID != a.ID ||
			!bytes.Equal(a.Answer.Body, registered.Body(stamp.ID, stamp.Service, stamp.Upstream)) {
			c.reportf(a.Ended, "%s: response with stamp %q and %d bytes is not a valid success",
				a.ID, a.Answer.Stamp, len(a.Answer.Body))
		}
	}
}

func (c *checker) checkMerged(a *Ask) {
	seen := make(map[string]bool)
	var bodies [][]byte
	for _, text := range a.Answer.Stamps {
		stamp, ok := registered.ParseStamp(text)
		if !ok || !stamp.Good || stamp.ID != a.ID || seen[stamp.Service] {
			c.reportf(a.Ended, "%s: unexpected stamp %q of a partial result", a.ID, text)

			return
		}
		seen[stamp.Service] = true
		bodies = append(bodies, registered.Body(stamp.ID, stamp.Service, stamp.Upstream))
	}
	for i := range c.Configs {
		r := c.Configs[i].route(a.Route.Name)
		if r != nil && c.Configs[i].At < a.Ended && matchesShards(r, seen, a.Answer.Missing) {
			if !bytes.Equal(a.Answer.Body, registered.Top(bodies, r.Top)) {
				c.reportf(a.Ended, "%s: body does not hold the top records of the merged results", a.ID)
			}

			return
		}
	}
	c.reportf(a.Ended, "%s: %d results and %d missing match no configuration", a.ID, len(seen), a.Answer.Missing)
}

// matchesShards reports whether the results come from shards of the route, and the numbers of
// present and missing results are right and reach the minimum coverage.
func matchesShards(r *catalog.Route, seen map[string]bool, missing int) bool {
	present := 0
	for _, s := range r.Shards {
		if seen[s] {
			present++
		}
	}
	minPresent := int(math.Ceil(r.Least*float64(len(r.Shards)) - 1e-9))

	return present == len(seen) && present+missing == len(r.Shards) && present >= max(1, minPresent)
}

// checkAtMostOnce checks that a request that is not idempotent is executed at most once.
func (c *checker) checkAtMostOnce() {
	for id, runs := range c.runs {
		a := c.requests[id]
		if a == nil || a.Route.Idempotent {
			continue
		}
		if n := executions(runs); n > 1 {
			c.reportf(a.Sent, "%s was executed %d times, want at most 1", id, n)
		}
	}
}

func executions(runs []*registered.Run) int {
	n := 0
	for _, r := range runs {
		if r.Ran {
			n++
		}
	}

	return n
}

// checkRefusals checks that a request that was refused as not executed was not executed.
func (c *checker) checkRefusals() {
	for i := range c.Asks {
		a := &c.Asks[i]
		switch a.status() {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout,
			http.StatusMisdirectedRequest:
			if !a.Route.Idempotent && executions(c.runs[a.ID]) > 0 {
				c.reportf(a.Ended, "%s was refused with status %d but was executed", a.ID, a.status())
			}
		}
	}
}

// checkForwarding checks that upstreams receive requests as callers sent them.
func (c *checker) checkForwarding() {
	for i := range c.Runs {
		r := &c.Runs[i]
		a := c.requests[r.ID]
		switch {
		case a == nil:
			c.reportf(r.Arrived, "%s was received by an upstream but never sent by a caller", r.ID)
		case a.Method != r.Method || a.Target != r.Target || a.Body != r.Body:
			c.reportf(r.Arrived, "%s was altered on the way: received %s %s with a body of %d bytes",
				r.ID, r.Method, r.Target, len(r.Body))
		case r.Ran && r.Expected != r.Options.ID:
			c.reportf(r.Arrived, "%s was meant for %q but was executed by %s", r.ID, r.Expected, r.Options.ID)
		}
	}
}

// deadlineSlack is how much later than the caller an upstream may give up.
const deadlineSlack = 500 * clock.Millisecond

// checkDeadlines checks that the deadlines passed to upstreams do not exceed the caller's.
func (c *checker) checkDeadlines() {
	wrong := 0
	for i := range c.Runs {
		r := &c.Runs[i]
		a := c.requests[r.ID]
		if a == nil || !c.stableWithin(a.Daemon, a.Sent, r.Arrived) {
			continue
		}
		if r.Left <= 0 || r.Arrived+r.Left > a.Sent+a.Left+deadlineSlack {
			wrong++
			if wrong > 20 {
				c.reportf(r.Arrived, "%s: timeout %v at the upstream exceeds the rest of the caller's %v, or is not positive",
					r.ID, r.Left, a.Left)
			}
		}
	}
}

// cancelSlack is how long after the caller's cancellation its request may still be executed, and
// cancelTolerance the number of requests that may exceed it.
const (
	cancelSlack     = 500 * clock.Millisecond
	cancelTolerance = 3
)

// checkCancellation checks that requests are cancelled at upstreams after the caller has cancelled
// them.
func (c *checker) checkCancellation() {
	wrong := 0
	for i := range c.Runs {
		r := &c.Runs[i]
		a := c.requests[r.ID]
		if a == nil || !a.Gone || !c.stableWithin(a.Daemon, a.Sent, a.Ended+cancelSlack) {
			continue
		}
		late := r.Arrived > a.Ended+cancelSlack || (a.Route.Idempotent && r.Ended > a.Ended+cancelSlack)
		if late {
			wrong++
		}
		if late && wrong > cancelTolerance {
			c.reportf(r.Arrived, "%s: cancelled by its caller at %.0f ms, but %s worked on it until %.0f ms",
				r.ID, float64(a.Ended), r.Options.ID, float64(r.Ended))
		}
	}
}
