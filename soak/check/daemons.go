package check

import (
	"net/http"
	"slices"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
)

// configuration checks that every daemon follows a configuration in time and never goes back.
func (c *checker) configuration() {
	for i := range c.Asks {
		a := &c.Asks[i]
		if !c.calmWithin(a.Daemon, a.Sent, a.Ended) || a.status() == 0 {
			continue
		}
		if !c.allowed(a) {
			c.violate(a.Ended, "%s on %s at %s: status %d fits no configuration that may be in force",
				a.ID, a.Route.Name, a.Daemon, a.status())
		}
	}
}

// allowed reports whether a configuration that may be in force explains the answer: one that was not
// replaced for Apply when the request was sent.
func (c *checker) allowed(a *Ask) bool {
	for i := range c.Configs {
		replaced := i+1 < len(c.Configs) && c.Configs[i+1].At+c.Bounds.Apply < a.Sent
		if replaced || c.Configs[i].At > a.Ended {
			continue
		}
		r := c.Configs[i].route(a.Route.Name)
		if (r == nil) == (a.status() == http.StatusNotFound) && (r == nil || c.explains(a, r)) {
			return true
		}
	}

	return false
}

// explains reports whether what ran the request is what a route names.
func (c *checker) explains(a *Ask, r *catalog.Route) bool {
	services := append([]string{r.Service}, r.Shards...)
	for _, s := range r.Split {
		services = append(services, s.Service)
	}
	for _, run := range c.runs[a.ID] {
		if run.Executed && !slices.Contains(services, run.Options.Service) {
			return false
		}
	}

	return true
}

const (
	// stopAllowed is how many requests may be cut around planned stops.
	stopAllowed = 3
	// stopAfter is how long after the end of a process its requests still count.
	stopAfter = clock.Second
	// stopLate is the last part of a stop, in which what is sent may be cut.
	stopLate = clock.Second
)

// stop checks that planned stops cut no requests, and that they end well.
func (c *checker) stop() {
	cut := 0
	for i := range c.Stops {
		s := &c.Stops[i]
		if s.Exit != 0 {
			c.violate(s.To, "%s ended with %d", s.Daemon, s.Exit)
		}
		for k := range c.Asks {
			a := &c.Asks[k]
			if a.Daemon != s.Daemon || a.Sent < s.From || a.Ended > s.To+stopAfter || a.Sent > s.To-stopLate ||
				!c.calmWithin(a.Daemon, a.Sent, a.Ended) {
				continue
			}
			if a.status() != 0 || a.Gone || a.Unconnected || a.Ended >= a.Sent+a.Left || len(c.runs[a.ID]) == 0 {
				continue
			}
			if cut++; cut > stopAllowed {
				c.violate(a.Ended, "%s was cut by the stop of %s", a.ID, s.Daemon)
			}
		}
	}
}

const (
	// listedSpan is how much longer than Contact a daemon that ended may still be named.
	listedSpan    = 3 * clock.Second
	listedAllowed = 3
)

// directory checks that callers are not sent to daemons that are gone for long.
func (c *checker) directory() {
	wrong := 0
	for i := range c.Listings {
		l := &c.Listings[i]
		if !c.calm(l.Daemon, l.At) {
			continue
		}
		for k := range c.Stops {
			s := &c.Stops[k]
			if !slices.Contains(l.Daemons, s.Daemon) || !s.over(l.At-c.Bounds.Contact-listedSpan, l.At) {
				continue
			}
			if wrong++; wrong > listedAllowed {
				c.violate(l.At, "%s names %s, gone since %.0f ms", l.Daemon, s.Daemon, float64(s.To))
			}
		}
	}
}

// over reports whether the daemon had ended by an instant and was not back by a later one.
func (s *Stop) over(by, later clock.Milli) bool {
	return s.To <= by && (s.Back == 0 || s.Back >= later)
}

// ends checks that no process ended by itself.
func (c *checker) ends() {
	for _, e := range c.Ends {
		c.violate(e.From, "%s ended by itself: %s", e.Daemon, e.What)
	}
}

// Shares of the requests that are answered well.
const (
	recoveredLeast = 0.95
	calmLeast      = 0.97
	countLeast     = 20
)

// recovery checks that the system serves again once all faults are over.
func (c *checker) recovery() {
	good, all := c.share(func(a *Ask) bool { return a.Sent > c.Healed+c.Bounds.Recovery })
	if all >= countLeast && float64(good) < recoveredLeast*float64(all) {
		c.violate(c.Healed+c.Bounds.Recovery, "%d of %d requests served after the last fault", good, all)
	}
}

// served checks that daemons which nothing disturbs serve what they are asked.
func (c *checker) served() {
	good, all := c.share(func(a *Ask) bool {
		return c.calmWithin(a.Daemon, a.Sent, a.Ended) && !c.stopped(a) &&
			!disturbed(c.Upsets, "", a.Sent-c.Bounds.Contact, a.Ended)
	})
	if all >= countLeast && float64(good) < calmLeast*float64(all) {
		c.violate(0, "%d of %d requests served by undisturbed daemons", good, all)
	}
}

// stopped reports whether a request was sent to a daemon that was being stopped or had ended. Callers
// that find nobody there ask others.
func (c *checker) stopped(a *Ask) bool {
	return slices.ContainsFunc(c.Stops, func(s Stop) bool {
		return s.Daemon == a.Daemon && s.From <= a.Sent && (s.Back == 0 || a.Sent < s.Back)
	})
}

func (c *checker) share(counts func(*Ask) bool) (good, all int) {
	for i := range c.Asks {
		a := &c.Asks[i]
		if a.Gone || !counts(a) {
			continue
		}
		all++
		if status := a.status(); status == http.StatusOK || status == http.StatusNotFound {
			good++
		}
	}

	return good, all
}
