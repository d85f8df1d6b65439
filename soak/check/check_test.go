package check_test

import (
	"fmt"
	"slices"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/platform"
	"jacinthferry/soak/check"
	"jacinthferry/standin/registered"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const second = clock.Second

var (
	search = catalog.Route{
		Name: "search", Shards: []string{"a", "b", "c"}, Idempotent: true, Attempts: 2, Top: 3, MinCoverage: 0.6,
	}
	look  = catalog.Route{Name: "look", Service: "orders", Idempotent: true, Attempts: 2}
	write = catalog.Route{Name: "write", Service: "orders", Attempts: 2}
)

// story is a log that is written request by request.
type story struct{ check.Log }

func newStory() *story {
	s := &story{}
	s.Bounds = check.Usual()
	s.Configs = []check.Config{{Routes: []catalog.Route{search, look, write}}}
	s.End, s.Healed = 100*second, 50*second

	return s
}

// run adds a request that an upstream got, and returns it.
func (s *story) run(id, service, upstream string, at clock.Milli) *registered.Request {
	s.Runs = append(s.Runs, registered.Request{
		Options: registered.Options{ID: upstream, Service: service, Zone: "zone-a", Version: "v1"}, ID: id,
		ExpectedID: upstream, Method: "POST", Target: "/" + id, Timeout: second, Arrived: at + 2, Ended: at + 5, Executed: true, OK: true,
	})

	return &s.Runs[len(s.Runs)-1]
}

// ask adds a request that a caller sent and that was served whole, and returns it. Upstream a1 of
// service a serves it, and so on.
func (s *story) ask(id string, route catalog.Route, at clock.Milli) *check.Ask {
	answer := &platform.CallerResponse{Status: 200}
	if route.Gathers() {
		var bodies [][]byte
		for _, name := range route.Shards {
			s.run(id, name, name+"1", at)
			answer.Stamps = append(answer.Stamps, stamp(id, name, true))
			bodies = append(bodies, registered.ResponseBody(id, name, name+"1"))
		}
		answer.Body = registered.TopRecords(bodies, route.Top)
	} else {
		s.run(id, route.Service, "orders1", at)
		answer.Stamp, answer.Body = stamp(id, route.Service, true), registered.ResponseBody(id, route.Service, "orders1")
	}
	s.Asks = append(s.Asks, check.Ask{
		ID: id, Daemon: "one", Route: route, Method: "POST", Target: "/" + id, Left: second, Sent: at, Ended: at + 10,
		Answer: answer,
	})

	return &s.Asks[len(s.Asks)-1]
}

func stamp(id, service string, good bool) string {
	return registered.Stamp{ID: id, Service: service, Upstream: service + "1", OK: good}.String()
}

func (s *story) lastRun() *registered.Request { return &s.Runs[len(s.Runs)-1] }

// many does something for a number of requests a tenth of a second apart, from an instant on.
func many(count int, from clock.Milli, do func(id string, at clock.Milli)) {
	for i := range count {
		do(fmt.Sprint("r", i), from+clock.Milli(i)*100)
	}
}

// breaks are things that must not happen, each with the check that has to see it.
var breaks = []struct {
	check, what string
	tell        func(*story)
}{
	{"whole", "an answer without a signature", func(s *story) { s.ask("r", look, 0).Answer.Stamp = "" }},
	{"whole", "a failure of an upstream as a success", func(s *story) {
		s.ask("r", look, 0).Answer.Stamp = stamp("r", "orders", false)
	}},
	{"whole", "the answer to another request", func(s *story) { s.ask("r", look, 0).Answer.Stamp = stamp("q", "orders", true) }},
	{"whole", "half a body", func(s *story) {
		a := s.ask("r", look, 0).Answer
		a.Body = a.Body[:48]
	}},
	{"whole", "a part twice", func(s *story) {
		a := s.ask("r", search, 0).Answer
		a.Stamps[1] = a.Stamps[0]
	}},
	{"whole", "a coverage that is not true", func(s *story) { s.ask("r", search, 0).Answer.Missing = 1 }},
	{"whole", "too few parts", func(s *story) {
		a := s.ask("r", search, 0).Answer
		a.Stamps, a.Missing = a.Stamps[:1], 2
		a.Body = registered.TopRecords([][]byte{registered.ResponseBody("r", "a", "a1")}, 3)
	}},
	{"whole", "records that are not the greatest", func(s *story) {
		body := s.ask("r", search, 0).Answer.Body
		slices.Reverse(body)
	}},
	{"once", "a request that may run once runs twice", func(s *story) {
		s.ask("r", write, 0)
		s.run("r", "orders", "orders2", 50)
	}},
	{"refusal", "a request that ran is refused as not run", func(s *story) { s.ask("r", write, 0).Answer.Status = 503 }},
	{"asked", "a request that nobody sent", func(s *story) { s.run("r", "orders", "orders1", 0) }},
	{"asked", "a target that changed on the way", func(s *story) {
		s.ask("r", look, 0)
		s.lastRun().Target = "/r/"
	}},
	{"asked", "a request at an upstream that it was not meant for", func(s *story) {
		s.ask("r", look, 0)
		s.lastRun().ExpectedID = "orders9"
	}},
	{"attempts", "more upstreams than the route allows", func(s *story) {
		many(4, 0, func(id string, at clock.Milli) {
			s.ask(id, look, at)
			s.run(id, "orders", "orders2", at)
			s.run(id, "orders", "orders3", at)
		})
	}},
	{"budget", "too many repeats", func(s *story) {
		many(100, 0, func(id string, at clock.Milli) {
			s.ask(id, look, at)
			s.run(id, "orders", "orders2", at)
		})
	}},
	{"deadline", "upstreams that are given too much time", func(s *story) {
		many(21, 10*second, func(id string, at clock.Milli) {
			s.ask(id, look, at)
			s.lastRun().Timeout = 2 * second
		})
	}},
	{"gone", "work for callers that left", func(s *story) {
		many(4, 10*second, func(id string, at clock.Milli) {
			a := s.ask(id, look, at)
			a.Gone, a.Answer = true, nil
			s.lastRun().Ended = at + second
		})
	}},
	{"drain", "a request at an upstream that left", func(s *story) {
		s.Outs = []check.Out{{Upstream: "orders1", At: 10 * second}}
		s.ask("r", look, 13*second+100)
	}},
	{"drain", "a request in a zone that is out", func(s *story) {
		s.Outs = []check.Out{{Zone: "zone-a", At: 10 * second, Until: 20 * second}}
		s.ask("r", look, 15*second+100)
	}},
	{"configuration", "a route that was dropped", func(s *story) {
		s.Configs = append(s.Configs, check.Config{At: 10 * second, Routes: []catalog.Route{search}})
		s.ask("r", look, 14*second)
	}},
	{"configuration", "a route that is refused as unknown", func(s *story) { s.ask("r", look, 14*second).Answer.Status = 404 }},
	{"configuration", "a service that the route named before", func(s *story) {
		moved := look
		moved.Service = "others"
		s.Configs = append(s.Configs, check.Config{At: 10 * second, Routes: []catalog.Route{search, moved, write}})
		s.ask("r", look, 14*second)
	}},
	{"trial", "too many requests at a bad version", func(s *story) {
		s.Moves = []check.Move{{Service: "orders", Version: "v2", Bad: true, At: 0, Deadline: 20 * second, Outcome: catalog.RolledBack}}
		many(60, 0, func(id string, at clock.Milli) {
			s.ask(id, look, at)
			s.lastRun().Options.Version = "v2"
		})
	}},
	{"trial", "requests at a version that was found bad", func(s *story) {
		s.Moves = []check.Move{{Service: "orders", Version: "v2", Bad: true, At: 0, Deadline: 90 * second, Outcome: catalog.RolledBack}}
		many(500, 0, func(id string, at clock.Milli) {
			s.ask(id, look, at)
			if at < 5*second || at > 49*second {
				s.lastRun().Options.Version, s.lastRun().OK = "v2", false
			}
		})
	}},
	{"trial", "a good version that is taken back", func(s *story) {
		s.Moves = []check.Move{{Service: "orders", Version: "v2", Deadline: 20 * second, Outcome: catalog.RolledBack}}
	}},
	{"stop", "a process that ends badly", func(s *story) {
		s.Stops = []check.Stop{{Daemon: "one", From: 10 * second, To: 13 * second, Exit: 2}}
	}},
	{"stop", "requests that a stop cuts", func(s *story) {
		s.Stops = []check.Stop{{Daemon: "one", From: 10 * second, To: 13 * second}}
		many(4, 11*second, func(id string, at clock.Milli) { s.ask(id, look, at).Answer = nil })
	}},
	{"directory", "a daemon that is gone for long", func(s *story) {
		s.Stops = []check.Stop{{Daemon: "one", From: 10 * second, To: 13 * second}}
		many(4, 21*second, func(_ string, at clock.Milli) {
			s.Listings = append(s.Listings, check.Listing{At: at, Daemon: "two", Daemons: []string{"one", "two"}})
		})
	}},
	{"ends", "a process that ends by itself", func(s *story) { s.Ends = []check.Trouble{{Daemon: "one"}} }},
	{"recovery", "requests that fail after the last fault", func(s *story) {
		s.Upsets = []check.Trouble{{From: 0, To: 100 * second}}
		many(40, 63*second, func(id string, at clock.Milli) { s.ask(id, look, at).Answer.Status = 502 })
	}},
	{"calm", "requests that fail at undisturbed daemons", func(s *story) {
		many(40, 10*second, func(id string, at clock.Milli) { s.ask(id, look, at).Answer.Status = 502 })
	}},
}

var _ = Describe("the checks", func() {
	found := func(s *story) []string {
		var names []string
		for _, b := range check.Run(&s.Log) {
			if !slices.Contains(names, b.Check) {
				names = append(names, b.Check)
			}
		}

		return names
	}

	It("finds nothing wrong with requests that are served", func() {
		s := newStory()
		for i, route := range []catalog.Route{search, look, write} {
			many(100, 10*second, func(id string, at clock.Milli) { s.ask(fmt.Sprint(i, id), route, at) })
		}
		Expect(check.Run(&s.Log)).To(BeEmpty())
	})

	for _, b := range breaks {
		It("sees "+b.what, func() {
			s := newStory()
			b.tell(s)
			Expect(found(s)).To(Equal([]string{b.check}))
		})
	}

	It("has a case for each check", func() {
		for _, name := range check.Names() {
			Expect(slices.ContainsFunc(breaks, func(b struct {
				check, what string
				tell        func(*story)
			},
			) bool {
				return b.check == name
			})).To(BeTrue(), name)
		}
	})

	It("holds a daemon to no bound in time while it is disturbed, and shortly after", func() {
		s := newStory()
		s.Troubles = []check.Trouble{{Daemon: "one", From: 11 * second, To: 12 * second}}
		s.Outs = []check.Out{{Upstream: "orders1", At: 10 * second}}
		s.ask("r", look, 15*second)
		Expect(found(s)).To(BeEmpty())
		s.Troubles[0].Daemon = "two"
		Expect(found(s)).To(Equal([]string{"drain"}))
	})
})
