package check

import (
	"net/http"
	"slices"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
)

// checkConfiguration checks that every daemon applies a new configuration in time and never returns
// to an older one.
func (c *checker) checkConfiguration() {
	for i := range c.Requests {
		req := &c.Requests[i]
		if !c.stableWithin(req.Daemon, req.Sent, req.Ended) || req.status() == 0 {
			continue
		}
		if !c.explainedByConfig(req) {
			c.reportf(req.Ended, "%s on %s at %s: status %d matches no configuration that may be in force",
				req.ID, req.Route.Name, req.Daemon, req.status())
		}
	}
}

// explainedByConfig reports whether the response fits a configuration that may be in force: one
// whose successor had been stored for no longer than the apply bound when the request was sent.
func (c *checker) explainedByConfig(req *Request) bool {
	for i := range c.Configs {
		replaced := i+1 < len(c.Configs) && c.Configs[i+1].At+c.Bounds.Apply < req.Sent
		if replaced || c.Configs[i].At > req.Ended {
			continue
		}
		r := c.Configs[i].route(req.Route.Name)
		if (r == nil) == (req.status() == http.StatusNotFound) && (r == nil || c.runsMatchRoute(req, r)) {
			return true
		}
	}

	return false
}

// runsMatchRoute reports whether the request was only executed by services that the route names.
func (c *checker) runsMatchRoute(req *Request, r *catalog.Route) bool {
	services := append([]string{r.Service}, r.Shards...)
	for _, s := range r.Split {
		services = append(services, s.Service)
	}
	for _, run := range c.runs[req.ID] {
		if run.Executed && !slices.Contains(services, run.Options.Service) {
			return false
		}
	}

	return true
}

const (
	// stopTolerance is the number of requests that may be interrupted by planned stops.
	stopTolerance = 3
	// stopTrailing is how long after the exit of a process its requests still count.
	stopTrailing = clock.Second
	// stopCutoff is the last part of a stop. Requests that are sent in it may be interrupted.
	stopCutoff = clock.Second
)

// checkStops checks that planned stops interrupt no requests and that the process exits with status 0.
func (c *checker) checkStops() {
	interrupted := 0
	for i := range c.Stops {
		s := &c.Stops[i]
		if s.ExitCode != 0 {
			c.reportf(s.To, "%s exited with status %d, want 0", s.Daemon, s.ExitCode)
		}
		for k := range c.Requests {
			req := &c.Requests[k]
			if req.Daemon != s.Daemon || req.Sent < s.From || req.Ended > s.To+stopTrailing || req.Sent > s.To-stopCutoff ||
				!c.stableWithin(req.Daemon, req.Sent, req.Ended) {
				continue
			}
			if req.status() != 0 || req.Cancelled || req.DialFailed || req.Ended >= req.Sent+req.Timeout ||
				len(c.runs[req.ID]) == 0 {
				continue
			}
			if interrupted++; interrupted > stopTolerance {
				c.reportf(req.Ended, "%s was interrupted by the planned stop of %s", req.ID, s.Daemon)
			}
		}
	}
}

const (
	// listingDelay is how much longer than the stabilisation bound a daemon may be listed after its exit.
	listingDelay     = 3 * clock.Second
	listingTolerance = 3
)

// checkDirectory checks that directories do not list daemons that exited long ago.
func (c *checker) checkDirectory() {
	wrong := 0
	for i := range c.Listings {
		l := &c.Listings[i]
		if !c.stable(l.Daemon, l.At) {
			continue
		}
		for k := range c.Stops {
			s := &c.Stops[k]
			if !slices.Contains(l.Daemons, s.Daemon) || !s.absent(l.At-c.Bounds.Stabilisation-listingDelay, l.At) {
				continue
			}
			if wrong++; wrong > listingTolerance {
				c.reportf(l.At, "%s lists %s, which exited at %.0f ms", l.Daemon, s.Daemon, float64(s.To))
			}
		}
	}
}

// absent reports whether the daemon had exited by one instant and was not restarted before a later one.
func (s *Stop) absent(by, later clock.Milli) bool {
	return s.To <= by && (s.RestartedAt == 0 || s.RestartedAt >= later)
}

// checkExits checks that no process exits unexpectedly.
func (c *checker) checkExits() {
	for _, e := range c.UnexpectedExits {
		c.reportf(e.From, "%s exited unexpectedly: %s", e.Daemon, e.Cause)
	}
}

// Minimum shares of successful requests, and the number of requests from which on they are checked.
const (
	minRecoveredShare = 0.95
	minServedShare    = 0.97
	minSampleSize     = 20
)

// checkRecovery checks that requests succeed again once the last fault is over and the recovery
// bound has passed.
func (c *checker) checkRecovery() {
	served, total := c.countServed(func(req *Request) bool { return req.Sent > c.FaultsEnded+c.Bounds.Recovery })
	if total >= minSampleSize && float64(served) < minRecoveredShare*float64(total) {
		c.reportf(c.FaultsEnded+c.Bounds.Recovery, "%d of %d requests succeeded after the last fault", served, total)
	}
}

// checkAvailability checks that requests to undisturbed daemons succeed.
func (c *checker) checkAvailability() {
	served, total := c.countServed(func(req *Request) bool {
		return c.stableWithin(req.Daemon, req.Sent, req.Ended) && !c.stopped(req) &&
			!disturbed(c.UpstreamDisturbances, "", req.Sent-c.Bounds.Stabilisation, req.Ended)
	})
	if total >= minSampleSize && float64(served) < minServedShare*float64(total) {
		c.reportf(0, "%d of %d requests succeeded at undisturbed daemons", served, total)
	}
}

// stopped reports whether a request was sent to a daemon that was shutting down or had exited.
// Callers that cannot connect try another daemon.
func (c *checker) stopped(req *Request) bool {
	return slices.ContainsFunc(c.Stops, func(s Stop) bool {
		return s.Daemon == req.Daemon && s.From <= req.Sent && (s.RestartedAt == 0 || req.Sent < s.RestartedAt)
	})
}

func (c *checker) countServed(counts func(*Request) bool) (served, total int) {
	for i := range c.Requests {
		req := &c.Requests[i]
		if req.Cancelled || !counts(req) {
			continue
		}
		total++
		if status := req.status(); status == http.StatusOK || status == http.StatusNotFound {
			served++
		}
	}

	return served, total
}
