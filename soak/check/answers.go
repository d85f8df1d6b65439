package check

import (
	"bytes"
	"math"
	"net/http"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/standin/registered"
)

// whole checks that successes are whole answers of this request, and tell what they cover.
func (c *checker) whole() {
	for i := range c.Asks {
		a := &c.Asks[i]
		if a.status() < http.StatusOK || a.status() >= http.StatusMultipleChoices {
			continue
		}
		if a.Route.Gathers() {
			c.gathered(a)

			continue
		}
		stamp, ok := registered.ParseStamp(a.Answer.Stamp)
		if !ok || !stamp.OK || stamp.ID != a.ID ||
			!bytes.Equal(a.Answer.Body, registered.ResponseBody(stamp.ID, stamp.Service, stamp.Upstream)) {
			c.violate(a.Ended, "%s: answer signed %q, %d bytes", a.ID, a.Answer.Stamp, len(a.Answer.Body))
		}
	}
}

func (c *checker) gathered(a *Ask) {
	seen := make(map[string]bool)
	var bodies [][]byte
	for _, text := range a.Answer.Stamps {
		stamp, ok := registered.ParseStamp(text)
		if !ok || !stamp.OK || stamp.ID != a.ID || seen[stamp.Service] {
			c.violate(a.Ended, "%s: part signed %q", a.ID, text)

			return
		}
		seen[stamp.Service] = true
		bodies = append(bodies, registered.ResponseBody(stamp.ID, stamp.Service, stamp.Upstream))
	}
	for i := range c.Configs {
		r := c.Configs[i].route(a.Route.Name)
		if r != nil && c.Configs[i].At < a.Ended && covers(r, seen, a.Answer.Missing) {
			if !bytes.Equal(a.Answer.Body, registered.TopRecords(bodies, r.Top)) {
				c.violate(a.Ended, "%s: not the greatest records of its parts", a.ID)
			}

			return
		}
	}
	c.violate(a.Ended, "%s: %d parts and %d missing fit no configuration", a.ID, len(seen), a.Answer.Missing)
}

// covers reports whether parts are of a route's shards, with that many missing and enough there.
func covers(r *catalog.Route, seen map[string]bool, missing int) bool {
	count := 0
	for _, s := range r.Shards {
		if seen[s] {
			count++
		}
	}
	least := int(math.Ceil(r.MinCoverage*float64(len(r.Shards)) - 1e-9))

	return count == len(seen) && count+missing == len(r.Shards) && count >= max(1, least)
}

// once checks that a request which may run once did.
func (c *checker) once() {
	for id, runs := range c.runs {
		a := c.asks[id]
		if a == nil || a.Route.Idempotent {
			continue
		}
		if n := ran(runs); n > 1 {
			c.violate(a.Sent, "%s ran %d times", id, n)
		}
	}
}

func ran(runs []*registered.Request) int {
	n := 0
	for _, r := range runs {
		if r.Executed {
			n++
		}
	}

	return n
}

// refusal checks that a request which was refused as not run did not run.
func (c *checker) refusal() {
	for i := range c.Asks {
		a := &c.Asks[i]
		switch a.status() {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout,
			http.StatusMisdirectedRequest:
			if !a.Route.Idempotent && ran(c.runs[a.ID]) > 0 {
				c.violate(a.Ended, "%s was refused with %d and ran", a.ID, a.status())
			}
		}
	}
}

// asked checks that upstreams get what callers sent.
func (c *checker) asked() {
	for i := range c.Runs {
		r := &c.Runs[i]
		a := c.asks[r.ID]
		switch {
		case a == nil:
			c.violate(r.Arrived, "%s was never sent", r.ID)
		case a.Method != r.Method || a.Target != r.Target || a.Body != r.Body:
			c.violate(r.Arrived, "%s arrived as %s %s with %d bytes", r.ID, r.Method, r.Target, len(r.Body))
		case r.Executed && r.ExpectedID != r.Options.ID:
			c.violate(r.Arrived, "%s for %q ran at %s", r.ID, r.ExpectedID, r.Options.ID)
		}
	}
}

// leftSlack is how much later than the caller an upstream may give up.
const leftSlack = 500 * clock.Millisecond

// deadline checks that upstreams are told to give up when the caller does.
func (c *checker) deadline() {
	wrong := 0
	for i := range c.Runs {
		r := &c.Runs[i]
		a := c.asks[r.ID]
		if a == nil || !c.calmWithin(a.Daemon, a.Sent, r.Arrived) {
			continue
		}
		if r.Timeout <= 0 || r.Arrived+r.Timeout > a.Sent+a.Left+leftSlack {
			wrong++
			if wrong > 20 {
				c.violate(r.Arrived, "%s: %v left at the upstream, of %v", r.ID, r.Timeout, a.Left)
			}
		}
	}
}

// goneSlack is how long after a caller has left its request may still be worked on, and goneAllowed
// how many requests may be nevertheless.
const (
	goneSlack   = 500 * clock.Millisecond
	goneAllowed = 3
)

// gone checks that what nobody waits for any more is given up.
func (c *checker) gone() {
	wrong := 0
	for i := range c.Runs {
		r := &c.Runs[i]
		a := c.asks[r.ID]
		if a == nil || !a.Gone || !c.calmWithin(a.Daemon, a.Sent, a.Ended+goneSlack) {
			continue
		}
		late := r.Arrived > a.Ended+goneSlack || (a.Route.Idempotent && r.Ended > a.Ended+goneSlack)
		if late {
			wrong++
		}
		if late && wrong > goneAllowed {
			c.violate(r.Arrived, "%s: its caller left at %.0f ms, and %s worked until %.0f ms",
				r.ID, float64(a.Ended), r.Options.ID, float64(r.Ended))
		}
	}
}
