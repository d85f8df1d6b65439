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
	for i := range c.Requests {
		req := &c.Requests[i]
		if req.status() < http.StatusOK || req.status() >= http.StatusMultipleChoices {
			continue
		}
		if req.Route.Gathers() {
			c.checkMerged(req)

			continue
		}
		stamp, ok := registered.ParseStamp(req.Response.Stamp)
		if !ok || !stamp.OK || stamp.ID != req.ID ||
			!bytes.Equal(req.Response.Body, registered.ResponseBody(stamp.ID, stamp.Service, stamp.Upstream)) {
			c.reportf(req.Ended, "%s: response with stamp %q and %d bytes is not a valid success",
				req.ID, req.Response.Stamp, len(req.Response.Body))
		}
	}
}

func (c *checker) checkMerged(req *Request) {
	seen := make(map[string]bool)
	var bodies [][]byte
	for _, text := range req.Response.Stamps {
		stamp, ok := registered.ParseStamp(text)
		if !ok || !stamp.OK || stamp.ID != req.ID || seen[stamp.Service] {
			c.reportf(req.Ended, "%s: unexpected stamp %q of a partial result", req.ID, text)

			return
		}
		seen[stamp.Service] = true
		bodies = append(bodies, registered.ResponseBody(stamp.ID, stamp.Service, stamp.Upstream))
	}
	for i := range c.Configs {
		r := c.Configs[i].route(req.Route.Name)
		if r != nil && c.Configs[i].At < req.Ended && matchesShards(r, seen, req.Response.Missing) {
			if !bytes.Equal(req.Response.Body, registered.TopRecords(bodies, r.Top)) {
				c.reportf(req.Ended, "%s: body does not hold the top records of the merged results", req.ID)
			}

			return
		}
	}
	c.reportf(req.Ended, "%s: %d results and %d missing match no configuration", req.ID, len(seen), req.Response.Missing)
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
	minPresent := int(math.Ceil(r.MinCoverage*float64(len(r.Shards)) - 1e-9))

	return present == len(seen) && present+missing == len(r.Shards) && present >= max(1, minPresent)
}

// checkAtMostOnce checks that a request that is not idempotent is executed at most once.
func (c *checker) checkAtMostOnce() {
	for id, runs := range c.runs {
		req := c.requests[id]
		if req == nil || req.Route.Idempotent {
			continue
		}
		if n := executions(runs); n > 1 {
			c.reportf(req.Sent, "%s was executed %d times, want at most 1", id, n)
		}
	}
}

func executions(runs []*registered.Request) int {
	n := 0
	for _, r := range runs {
		if r.Executed {
			n++
		}
	}

	return n
}

// checkRefusals checks that a request that was refused as not executed was not executed.
func (c *checker) checkRefusals() {
	for i := range c.Requests {
		req := &c.Requests[i]
		switch req.status() {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout,
			http.StatusMisdirectedRequest:
			if !req.Route.Idempotent && executions(c.runs[req.ID]) > 0 {
				c.reportf(req.Ended, "%s was refused with status %d but was executed", req.ID, req.status())
			}
		}
	}
}

// checkForwarding checks that upstreams receive requests as callers sent them.
func (c *checker) checkForwarding() {
	for i := range c.Runs {
		r := &c.Runs[i]
		req := c.requests[r.ID]
		switch {
		case req == nil:
			c.reportf(r.Arrived, "%s was received by an upstream but never sent by a caller", r.ID)
		case req.Method != r.Method || req.Target != r.Target || req.Body != r.Body:
			c.reportf(r.Arrived, "%s was altered on the way: received %s %s with a body of %d bytes",
				r.ID, r.Method, r.Target, len(r.Body))
		case r.Executed && r.ExpectedID != r.Options.ID:
			c.reportf(r.Arrived, "%s was meant for %q but was executed by %s", r.ID, r.ExpectedID, r.Options.ID)
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
		req := c.requests[r.ID]
		if req == nil || !c.stableWithin(req.Daemon, req.Sent, r.Arrived) {
			continue
		}
		if r.Timeout <= 0 || r.Arrived+r.Timeout > req.Sent+req.Timeout+deadlineSlack {
			wrong++
			if wrong > 20 {
				c.reportf(r.Arrived, "%s: timeout %v at the upstream exceeds the rest of the caller's %v, or is not positive",
					r.ID, r.Timeout, req.Timeout)
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

// checkCancellation checks that requests are cancelled at upstreams after the caller has cancelled them.
func (c *checker) checkCancellation() {
	wrong := 0
	for i := range c.Runs {
		r := &c.Runs[i]
		req := c.requests[r.ID]
		if req == nil || !req.Cancelled || !c.stableWithin(req.Daemon, req.Sent, req.Ended+cancelSlack) {
			continue
		}
		late := r.Arrived > req.Ended+cancelSlack || (req.Route.Idempotent && r.Ended > req.Ended+cancelSlack)
		if late {
			wrong++
		}
		if late && wrong > cancelTolerance {
			c.reportf(r.Arrived, "%s: cancelled by its caller at %.0f ms, but %s worked on it until %.0f ms",
				r.ID, float64(req.Ended), r.Options.ID, float64(r.Ended))
		}
	}
}
