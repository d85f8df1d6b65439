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
		Name: "search", Shards: []string{"a", "b", "c"}, Idempotent: true, Attempts: 2, Top: 3, Least: 0.6,
	}
	look  = catalog.Route{Name: "look", Service: "orders", Idempotent: true, Attempts: 2}
	write = catalog.Route{Name: "write", Service: "orders", Attempts: 2}
)

// historyBuilder builds a log request by request.
type historyBuilder struct{ check.Log }

func newHistoryBuilder() *historyBuilder {
	s := &historyBuilder{}
	s.Bounds = check.Usual()
	s.Configs = []check.Config{{Routes: []catalog.Route{search, look, write}}}
	s.End, s.Healed = 100*second, 50*second

	return s
}

// addRun adds a request that an upstream received, and returns it.
func (s *historyBuilder) addRun(id, service, upstream string, at clock.Milli) *registered.Run {
	s.Runs = append(s.Runs, registered.Run{
		Options: registered.Options{ID: upstream, Service: service, Zone: "zone-a", Version: "v1"}, ID: id,
		Expected: upstream, Method: "POST", Target: "/" + id, Left: second, Arrived: at + 2, Ended: at + 5, Ran: true, Good: true,
	})

	return &s.Runs[len(s.Runs)-1]
}

// addRequest adds a request that was served in full, and returns it. Upstream a1 of service a
// serves it, and likewise for the other services.
func (s *historyBuilder) addRequest(id string, route catalog.Route, at clock.Milli) *check.Ask {
	answer := &platform.CallerAnswer{Status: 200}
	if route.Gathers() {
		var bodies [][]byte
		for _, name := range route.Shards {
			s.addRun(id, name, name+"1", at)
			answer.Stamps = append(answer.Stamps, stamp(id, name, true))
			bodies = append(bodies, registered.Body(id, name, name+"1"))
		}
		answer.Body = registered.Top(bodies, route.Top)
	} else {
		s.addRun(id, route.Service, "orders1", at)
		answer.Stamp, answer.Body = stamp(id, route.Service, true), registered.Body(id, route.Service, "orders1")
	}
	s.Asks = append(s.Asks, check.Ask{
		ID: id, Daemon: "one", Route: route, Method: "POST", Target: "/" + id, Left: second, Sent: at, Ended: at + 10,
		Answer: answer,
	})

	return &s.Asks[len(s.Asks)-1]
}

func stamp(id, service string, good bool) string {
	return registered.Stamp{ID: id, Service: service, Upstream: service + "1", Good: good}.String()
}

func (s *historyBuilder) lastRun() *registered.Run { return &s.Runs[len(s.Runs)-1] }

// repeat calls a function with a number of request IDs and times, 100 ms apart from a start.
func repeat(count int, from clock.Milli, do func(id string, at clock.Milli)) {
	for i := range count {
		do(fmt.Sprint("r", i), from+clock.Milli(i)*100)
	}
}

// cases are violations, each with the check that has to report it.
var cases = []struct {
	check, what string
	tell        func(*historyBuilder)
}{
	{"whole", "a response without a stamp", func(s *historyBuilder) { s.addRequest("r", look, 0).Answer.Stamp = "" }},
	{"whole", "an upstream failure that is returned as a success", func(s *historyBuilder) {
		s.addRequest("r", look, 0).Answer.Stamp = stamp("r", "orders", false)
	}},
	{"whole", "the response to another request", func(s *historyBuilder) { s.addRequest("r", look, 0).Answer.Stamp = stamp("q", "orders", true) }},
	{"whole", "a truncated body", func(s *historyBuilder) {
		a := s.addRequest("r", look, 0).Answer
		a.Body = a.Body[:48]
	}},
	{"whole", "a duplicate result", func(s *historyBuilder) {
		a := s.addRequest("r", search, 0).Answer
		a.Stamps[1] = a.Stamps[0]
	}},
	{"whole", "an incorrect coverage", func(s *historyBuilder) { s.addRequest("r", search, 0).Answer.Missing = 1 }},
	{"whole", "a coverage below the minimum", func(s *historyBuilder) {
		a := s.addRequest("r", search, 0).Answer
		a.Stamps, a.Missing = a.Stamps[:1], 2
		a.Body = registered.Top([][]byte{registered.Body("r", "a", "a1")}, 3)
	}},
	{"whole", "records that are not the top ones", func(s *historyBuilder) {
		body := s.addRequest("r", search, 0).Answer.Body
		slices.Reverse(body)
	}},
	{"once", "a second execution of a request that is not idempotent", func(s *historyBuilder) {
		s.addRequest("r", write, 0)
		s.addRun("r", "orders", "orders2", 50)
	}},
	{"refusal", "a refusal as not executed of a request that was executed", func(s *historyBuilder) { s.addRequest("r", write, 0).Answer.Status = 503 }},
	{"asked", "a request that no caller sent", func(s *historyBuilder) { s.addRun("r", "orders", "orders1", 0) }},
	{"asked", "a request whose target was altered on the way", func(s *historyBuilder) {
		s.addRequest("r", look, 0)
		s.lastRun().Target = "/r/"
	}},
	{"asked", "a request that was executed by an upstream other than the intended one", func(s *historyBuilder) {
		s.addRequest("r", look, 0)
		s.lastRun().Expected = "orders9"
	}},
	{"attempts", "requests that are executed by more upstreams than the route allows", func(s *historyBuilder) {
		repeat(4, 0, func(id string, at clock.Milli) {
			s.addRequest(id, look, at)
			s.addRun(id, "orders", "orders2", at)
			s.addRun(id, "orders", "orders3", at)
		})
	}},
	{"budget", "extra sends above the retry budget", func(s *historyBuilder) {
		repeat(100, 0, func(id string, at clock.Milli) {
			s.addRequest(id, look, at)
			s.addRun(id, "orders", "orders2", at)
		})
	}},
	{"deadline", "upstream deadlines later than the caller's", func(s *historyBuilder) {
		repeat(21, 10*second, func(id string, at clock.Milli) {
			s.addRequest(id, look, at)
			s.lastRun().Left = 2 * second
		})
	}},
	{"gone", "execution of requests that callers cancelled", func(s *historyBuilder) {
		repeat(4, 10*second, func(id string, at clock.Milli) {
			a := s.addRequest(id, look, at)
			a.Gone, a.Answer = true, nil
			s.lastRun().Ended = at + second
		})
	}},
	{"drain", "a request to an upstream after it was drained", func(s *historyBuilder) {
		s.Outs = []check.Out{{Upstream: "orders1", At: 10 * second}}
		s.addRequest("r", look, 13*second+100)
	}},
	{"drain", "a request to an evacuated zone", func(s *historyBuilder) {
		s.Outs = []check.Out{{Zone: "zone-a", At: 10 * second, Until: 20 * second}}
		s.addRequest("r", look, 15*second+100)
	}},
	{"configuration", "a success on a route that was removed", func(s *historyBuilder) {
		s.Configs = append(s.Configs, check.Config{At: 10 * second, Routes: []catalog.Route{search}})
		s.addRequest("r", look, 14*second)
	}},
	{"configuration", "status 404 for a configured route", func(s *historyBuilder) { s.addRequest("r", look, 14*second).Answer.Status = 404 }},
	{"configuration", "execution by a service that the route no longer names", func(s *historyBuilder) {
		moved := look
		moved.Service = "others"
		s.Configs = append(s.Configs, check.Config{At: 10 * second, Routes: []catalog.Route{search, moved, write}})
		s.addRequest("r", look, 14*second)
	}},
	{"trial", "too many requests to a bad version", func(s *historyBuilder) {
		s.Moves = []check.Move{{Service: "orders", Version: "v2", Bad: true, At: 0, Deadline: 20 * second, Outcome: catalog.Back}}
		repeat(60, 0, func(id string, at clock.Milli) {
			s.addRequest(id, look, at)
			s.lastRun().Options.Version = "v2"
		})
	}},
	{"trial", "requests to a version after it was found bad", func(s *historyBuilder) {
		s.Moves = []check.Move{{Service: "orders", Version: "v2", Bad: true, At: 0, Deadline: 90 * second, Outcome: catalog.Back}}
		repeat(500, 0, func(id string, at clock.Milli) {
			s.addRequest(id, look, at)
			if at < 5*second || at > 49*second {
				s.lastRun().Options.Version, s.lastRun().Good = "v2", false
			}
		})
	}},
	{"trial", "a rollback of a good version", func(s *historyBuilder) {
		s.Moves = []check.Move{{Service: "orders", Version: "v2", Deadline: 20 * second, Outcome: catalog.Back}}
	}},
	{"stop", "a non-zero exit status", func(s *historyBuilder) {
		s.Stops = []check.Stop{{Daemon: "one", From: 10 * second, To: 13 * second, Exit: 2}}
	}},
	{"stop", "requests that are interrupted by a planned stop", func(s *historyBuilder) {
		s.Stops = []check.Stop{{Daemon: "one", From: 10 * second, To: 13 * second}}
		repeat(4, 11*second, func(id string, at clock.Milli) { s.addRequest(id, look, at).Answer = nil })
	}},
	{"directory", "a daemon that is listed long after its exit", func(s *historyBuilder) {
		s.Stops = []check.Stop{{Daemon: "one", From: 10 * second, To: 13 * second}}
		repeat(4, 21*second, func(_ string, at clock.Milli) {
			s.Listings = append(s.Listings, check.Listing{At: at, Daemon: "two", Daemons: []string{"one", "two"}})
		})
	}},
	{"ends", "an unexpected exit of a process", func(s *historyBuilder) { s.Ends = []check.Trouble{{Daemon: "one"}} }},
	{"recovery", "requests that fail after the last fault", func(s *historyBuilder) {
		s.Upsets = []check.Trouble{{From: 0, To: 100 * second}}
		repeat(40, 63*second, func(id string, at clock.Milli) { s.addRequest(id, look, at).Answer.Status = 502 })
	}},
	{"calm", "requests that fail at undisturbed daemons", func(s *historyBuilder) {
		repeat(40, 10*second, func(id string, at clock.Milli) { s.addRequest(id, look, at).Answer.Status = 502 })
	}},
}

var _ = Describe("The checks", func() {
	violatedChecks := func(s *historyBuilder) []string {
		var names []string
		for _, b := range check.Run(&s.Log) {
			if !slices.Contains(names, b.Check) {
				names = append(names, b.Check)
			}
		}

		return names
	}

	It("report no violation for requests that succeed", func() {
		s := newHistoryBuilder()
		for i, route := range []catalog.Route{search, look, write} {
			repeat(100, 10*second, func(id string, at clock.Milli) { s.addRequest(fmt.Sprint(i, id), route, at) })
		}
		Expect(check.Run(&s.Log)).To(BeEmpty())
	})

	for _, b := range cases {
		It("report "+b.what, func() {
			s := newHistoryBuilder()
			b.tell(s)
			Expect(violatedChecks(s)).To(Equal([]string{b.check}))
		})
	}

	It("have a test case each", func() {
		for _, name := range check.Names() {
			Expect(slices.ContainsFunc(cases, func(b struct {
				check, what string
				tell        func(*historyBuilder)
			},
			) bool {
				return b.check == name
			})).To(BeTrue(), name)
		}
	})

	It("apply no time bounds to a daemon during a disturbance and shortly after", func() {
		s := newHistoryBuilder()
		s.Troubles = []check.Trouble{{Daemon: "one", From: 11 * second, To: 12 * second}}
		s.Outs = []check.Out{{Upstream: "orders1", At: 10 * second}}
		s.addRequest("r", look, 15*second)
		Expect(violatedChecks(s)).To(BeEmpty())
		s.Troubles[0].Daemon = "two"
		Expect(violatedChecks(s)).To(Equal([]string{"drain"}))
	})
})
