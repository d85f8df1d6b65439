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

// historyBuilder builds a history request by request.
type historyBuilder struct{ check.History }

func newHistoryBuilder() *historyBuilder {
	h := &historyBuilder{}
	h.Bounds = check.DefaultBounds()
	h.Configs = []check.Config{{Routes: []catalog.Route{search, look, write}}}
	h.End, h.FaultsEnded = 100*second, 50*second

	return h
}

// addRun adds a request that an upstream received, and returns it.
func (h *historyBuilder) addRun(id, service, upstream string, at clock.Milli) *registered.Request {
	h.Runs = append(h.Runs, registered.Request{
		Options: registered.Options{ID: upstream, Service: service, Zone: "zone-a", Version: "v1"}, ID: id,
		ExpectedID: upstream, Method: "POST", Target: "/" + id, Timeout: second, Arrived: at + 2, Ended: at + 5, Executed: true, OK: true,
	})

	return &h.Runs[len(h.Runs)-1]
}

// addRequest adds a request that was served in full, and returns it. Upstream a1 of service a
// serves it, and likewise for the other services.
func (h *historyBuilder) addRequest(id string, route catalog.Route, at clock.Milli) *check.Request {
	answer := &platform.CallerResponse{Status: 200}
	if route.Gathers() {
		var bodies [][]byte
		for _, name := range route.Shards {
			h.addRun(id, name, name+"1", at)
			answer.Stamps = append(answer.Stamps, stamp(id, name, true))
			bodies = append(bodies, registered.ResponseBody(id, name, name+"1"))
		}
		answer.Body = registered.TopRecords(bodies, route.Top)
	} else {
		h.addRun(id, route.Service, "orders1", at)
		answer.Stamp, answer.Body = stamp(id, route.Service, true), registered.ResponseBody(id, route.Service, "orders1")
	}
	h.Requests = append(h.Requests, check.Request{
		ID: id, Daemon: "one", Route: route, Method: "POST", Target: "/" + id, Timeout: second, Sent: at, Ended: at + 10,
		Response: answer,
	})

	return &h.Requests[len(h.Requests)-1]
}

func stamp(id, service string, good bool) string {
	return registered.Stamp{ID: id, Service: service, Upstream: service + "1", OK: good}.String()
}

func (h *historyBuilder) lastRun() *registered.Request { return &h.Runs[len(h.Runs)-1] }

// repeat calls a function with a number of request IDs and times, 100 ms apart from a start.
func repeat(count int, from clock.Milli, do func(id string, at clock.Milli)) {
	for i := range count {
		do(fmt.Sprint("r", i), from+clock.Milli(i)*100)
	}
}

// cases are violations, each with the check that has to report it.
var cases = []struct {
	check, description string
	arrange            func(*historyBuilder)
}{
	{"whole", "a response without a stamp", func(h *historyBuilder) { h.addRequest("r", look, 0).Response.Stamp = "" }},
	{"whole", "an upstream failure that is returned as a success", func(h *historyBuilder) {
		h.addRequest("r", look, 0).Response.Stamp = stamp("r", "orders", false)
	}},
	{"whole", "the response to another request", func(h *historyBuilder) { h.addRequest("r", look, 0).Response.Stamp = stamp("q", "orders", true) }},
	{"whole", "a truncated body", func(h *historyBuilder) {
		answer := h.addRequest("r", look, 0).Response
		answer.Body = answer.Body[:48]
	}},
	{"whole", "a duplicate result", func(h *historyBuilder) {
		answer := h.addRequest("r", search, 0).Response
		answer.Stamps[1] = answer.Stamps[0]
	}},
	{"whole", "an incorrect coverage", func(h *historyBuilder) { h.addRequest("r", search, 0).Response.Missing = 1 }},
	{"whole", "a coverage below the minimum", func(h *historyBuilder) {
		answer := h.addRequest("r", search, 0).Response
		answer.Stamps, answer.Missing = answer.Stamps[:1], 2
		answer.Body = registered.TopRecords([][]byte{registered.ResponseBody("r", "a", "a1")}, 3)
	}},
	{"whole", "records that are not the top ones", func(h *historyBuilder) {
		body := h.addRequest("r", search, 0).Response.Body
		slices.Reverse(body)
	}},
	{"once", "a second execution of a request that is not idempotent", func(h *historyBuilder) {
		h.addRequest("r", write, 0)
		h.addRun("r", "orders", "orders2", 50)
	}},
	{"refusal", "a refusal as not executed of a request that was executed", func(h *historyBuilder) { h.addRequest("r", write, 0).Response.Status = 503 }},
	{"asked", "a request that no caller sent", func(h *historyBuilder) { h.addRun("r", "orders", "orders1", 0) }},
	{"asked", "a request whose target was altered on the way", func(h *historyBuilder) {
		h.addRequest("r", look, 0)
		h.lastRun().Target = "/r/"
	}},
	{"asked", "a request that was executed by an upstream other than the intended one", func(h *historyBuilder) {
		h.addRequest("r", look, 0)
		h.lastRun().ExpectedID = "orders9"
	}},
	{"attempts", "requests that are executed by more upstreams than the route allows", func(h *historyBuilder) {
		repeat(4, 0, func(id string, at clock.Milli) {
			h.addRequest(id, look, at)
			h.addRun(id, "orders", "orders2", at)
			h.addRun(id, "orders", "orders3", at)
		})
	}},
	{"budget", "extra sends above the retry budget", func(h *historyBuilder) {
		repeat(100, 0, func(id string, at clock.Milli) {
			h.addRequest(id, look, at)
			h.addRun(id, "orders", "orders2", at)
		})
	}},
	{"deadline", "upstream deadlines later than the caller's", func(h *historyBuilder) {
		repeat(21, 10*second, func(id string, at clock.Milli) {
			h.addRequest(id, look, at)
			h.lastRun().Timeout = 2 * second
		})
	}},
	{"gone", "execution of requests that callers cancelled", func(h *historyBuilder) {
		repeat(4, 10*second, func(id string, at clock.Milli) {
			req := h.addRequest(id, look, at)
			req.Cancelled, req.Response = true, nil
			h.lastRun().Ended = at + second
		})
	}},
	{"drain", "a request to an upstream after it was drained", func(h *historyBuilder) {
		h.Removals = []check.Removal{{Upstream: "orders1", At: 10 * second}}
		h.addRequest("r", look, 13*second+100)
	}},
	{"drain", "a request to an evacuated zone", func(h *historyBuilder) {
		h.Removals = []check.Removal{{Zone: "zone-a", At: 10 * second, Until: 20 * second}}
		h.addRequest("r", look, 15*second+100)
	}},
	{"configuration", "a success on a route that was removed", func(h *historyBuilder) {
		h.Configs = append(h.Configs, check.Config{At: 10 * second, Routes: []catalog.Route{search}})
		h.addRequest("r", look, 14*second)
	}},
	{"configuration", "status 404 for a configured route", func(h *historyBuilder) { h.addRequest("r", look, 14*second).Response.Status = 404 }},
	{"configuration", "execution by a service that the route no longer names", func(h *historyBuilder) {
		moved := look
		moved.Service = "others"
		h.Configs = append(h.Configs, check.Config{At: 10 * second, Routes: []catalog.Route{search, moved, write}})
		h.addRequest("r", look, 14*second)
	}},
	{"trial", "too many requests to a bad version", func(h *historyBuilder) {
		h.Rollouts = []check.Rollout{{Service: "orders", Version: "v2", Bad: true, At: 0, Deadline: 20 * second, Outcome: catalog.RolledBack}}
		repeat(60, 0, func(id string, at clock.Milli) {
			h.addRequest(id, look, at)
			h.lastRun().Options.Version = "v2"
		})
	}},
	{"trial", "requests to a version after it was found bad", func(h *historyBuilder) {
		h.Rollouts = []check.Rollout{{Service: "orders", Version: "v2", Bad: true, At: 0, Deadline: 90 * second, Outcome: catalog.RolledBack}}
		repeat(500, 0, func(id string, at clock.Milli) {
			h.addRequest(id, look, at)
			if at < 5*second || at > 49*second {
				h.lastRun().Options.Version, h.lastRun().OK = "v2", false
			}
		})
	}},
	{"trial", "a rollback of a good version", func(h *historyBuilder) {
		h.Rollouts = []check.Rollout{{Service: "orders", Version: "v2", Deadline: 20 * second, Outcome: catalog.RolledBack}}
	}},
	{"stop", "a non-zero exit status", func(h *historyBuilder) {
		h.Stops = []check.Stop{{Daemon: "one", From: 10 * second, To: 13 * second, ExitCode: 2}}
	}},
	{"stop", "requests that are interrupted by a planned stop", func(h *historyBuilder) {
		h.Stops = []check.Stop{{Daemon: "one", From: 10 * second, To: 13 * second}}
		repeat(4, 11*second, func(id string, at clock.Milli) { h.addRequest(id, look, at).Response = nil })
	}},
	{"directory", "a daemon that is listed long after its exit", func(h *historyBuilder) {
		h.Stops = []check.Stop{{Daemon: "one", From: 10 * second, To: 13 * second}}
		repeat(4, 21*second, func(_ string, at clock.Milli) {
			h.Listings = append(h.Listings, check.Listing{At: at, Daemon: "two", Daemons: []string{"one", "two"}})
		})
	}},
	{"ends", "an unexpected exit of a process", func(h *historyBuilder) { h.UnexpectedExits = []check.Disturbance{{Daemon: "one"}} }},
	{"recovery", "requests that fail after the last fault", func(h *historyBuilder) {
		h.UpstreamDisturbances = []check.Disturbance{{From: 0, To: 100 * second}}
		repeat(40, 63*second, func(id string, at clock.Milli) { h.addRequest(id, look, at).Response.Status = 502 })
	}},
	{"calm", "requests that fail at undisturbed daemons", func(h *historyBuilder) {
		repeat(40, 10*second, func(id string, at clock.Milli) { h.addRequest(id, look, at).Response.Status = 502 })
	}},
}

var _ = Describe("The checks", func() {
	violatedChecks := func(h *historyBuilder) []string {
		var names []string
		for _, v := range check.Run(&h.History) {
			if !slices.Contains(names, v.Check) {
				names = append(names, v.Check)
			}
		}

		return names
	}

	It("report no violation for requests that succeed", func() {
		h := newHistoryBuilder()
		for i, route := range []catalog.Route{search, look, write} {
			repeat(100, 10*second, func(id string, at clock.Milli) { h.addRequest(fmt.Sprint(i, id), route, at) })
		}
		Expect(check.Run(&h.History)).To(BeEmpty())
	})

	for _, tc := range cases {
		It("report "+tc.description, func() {
			h := newHistoryBuilder()
			tc.arrange(h)
			Expect(violatedChecks(h)).To(Equal([]string{tc.check}))
		})
	}

	It("have a test case each", func() {
		for _, name := range check.Names() {
			Expect(slices.ContainsFunc(cases, func(tc struct {
				check, description string
				arrange            func(*historyBuilder)
			},
			) bool {
				return tc.check == name
			})).To(BeTrue(), name)
		}
	})

	It("apply no time bounds to a daemon during a disturbance and shortly after", func() {
		h := newHistoryBuilder()
		h.DaemonDisturbances = []check.Disturbance{{Daemon: "one", From: 11 * second, To: 12 * second}}
		h.Removals = []check.Removal{{Upstream: "orders1", At: 10 * second}}
		h.addRequest("r", look, 15*second)
		Expect(violatedChecks(h)).To(BeEmpty())
		h.DaemonDisturbances[0].Daemon = "two"
		Expect(violatedChecks(h)).To(Equal([]string{"drain"}))
	})
})
