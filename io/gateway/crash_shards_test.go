package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/gather"
	"jacinthferry/core/quarantine"
	"jacinthferry/core/reason"
	"jacinthferry/io/gateway"
	"jacinthferry/io/timer"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// crashingIndex is an index of several shards, each with a crashingServer in every availability zone.
type crashingIndex struct {
	services []catalog.Service
	servers  []*crashingServer
}

func newCrashingIndex(name string, shards, zones int) *crashingIndex {
	x := &crashingIndex{}
	for i := range shards {
		service := fmt.Sprintf("%s%d", name, i)
		x.services = append(x.services, catalog.Service{Name: service})
		for z := range zones {
			s := newCrashingServer(fmt.Sprintf("%s-%d", service, z), service)
			s.upstream.Zone = fmt.Sprintf("zone%d", z)
			x.servers = append(x.servers, s)
		}
	}

	return x
}

func (x *crashingIndex) runs() int {
	n := int64(0)
	for _, s := range x.servers {
		n += s.runs.Load()
	}

	return int(n)
}

func (x *crashingIndex) restart() {
	for _, s := range x.servers {
		s.stop()
		s.start()
	}
}

// view returns the view of a configuration whose only route gathers from the shards of the index.
func (x *crashingIndex) view() *catalog.View {
	route := catalog.Route{
		Host: "h", Prefix: "/", Idempotent: true, Timeout: 2 * clock.Second, Objective: 500 * clock.Millisecond, Attempts: 2,
		MinCoverage: 0.9, Top: 1,
	}
	upstreams := make([]*catalog.Upstream, 0, len(x.servers))
	for _, s := range x.services {
		route.Shards = append(route.Shards, s.Name)
	}
	for _, s := range x.servers {
		upstreams = append(upstreams, s.upstream)
	}

	return catalog.NewView(catalog.NewConfig(1, 1, []catalog.Route{route}, x.services, catalog.Limits{}), upstreams, nil)
}

var _ = Describe("a query whose upstreams crash while running it", func() {
	const shards, zones = 8, 3
	var index *crashingIndex
	var view atomic.Pointer[catalog.View]
	var g *gateway.Gateway
	BeforeEach(func() {
		index = newCrashingIndex("s", shards, zones)
		view.Store(index.view())
		options := newOptions(view.Load, plainCodec)
		options.Policy.RetryRatio, options.Policy.RetrySlack = 0.2, 500
		g = gateway.New(options)
	})
	send := func(ctx context.Context, path string) *reason.Refusal {
		response := g.Serve(ctx, &gateway.Call{
			ID: "r", Method: http.MethodGet, Host: "h", Target: path, Path: path, Header: http.Header{}, Arrived: timer.NewClock()(),
		})
		defer response.Release()

		return response.Refusal
	}

	It("is sent to one further upstream at most once it has crashed one of each shard", func(ctx SpecContext) {
		Expect(send(ctx, "/poison/1")).NotTo(BeNil())
		Expect(index.runs()).To(BeNumerically("<=", shards+1))
		before := index.runs()
		index.restart()
		Expect(send(ctx, "/poison/1").Reason).To(Equal(reason.Quarantine))
		Expect(index.runs()).To(Equal(before))
		Expect(send(ctx, "/other")).To(BeNil())
	})

	It("stays refused after the route moved to an index with other shards", func(ctx SpecContext) {
		Expect(send(ctx, "/poison/1")).NotTo(BeNil())
		other := newCrashingIndex("t", shards, zones)
		view.Store(other.view())
		Expect(send(ctx, "/poison/1").Reason).To(Equal(reason.Quarantine))
		Expect(other.runs()).To(BeZero())
	})

	It("is refused although a hundred others are", func(ctx SpecContext) {
		for n := range quarantine.Fingerprint(100) {
			g.MergeWarning(quarantine.Warning{Fingerprint: n, Crashes: []uint64{1, 2}, Remaining: quarantine.Period})
		}
		Expect(send(ctx, "/poison/1")).NotTo(BeNil())
		index.restart()
		Expect(send(ctx, "/poison/1").Reason).To(Equal(reason.Quarantine))
	})

	It("is not sent for another daemon once it is in quarantine", func(ctx SpecContext) {
		g.MergeWarning(quarantine.Warning{
			Fingerprint: quarantine.FingerprintOf("", "GET h/poison/1\n"), Crashes: []uint64{1, 2}, Remaining: quarantine.Period,
		})
		call := &gateway.Call{ID: "r", Method: http.MethodGet, Host: "h", Target: "/poison/1", Header: http.Header{}}
		legs := []gateway.RelayLeg{{Number: 3, Upstream: *index.servers[0].upstream, Timeout: clock.Second}}
		var responses []gateway.RelayResponse
		g.SendLegs(ctx, call, legs, 0, 1, func(r gateway.RelayResponse) { responses = append(responses, r) })
		refused := gather.Result{Run: reason.NotExecuted, Reason: reason.Quarantine}
		Expect(responses).To(Equal([]gateway.RelayResponse{{Results: []gateway.RelayResult{{Number: 3, Result: refused}}}}))
		Expect(index.runs()).To(BeZero())
	})

	It("is answered in full by the other replicas when an availability zone ends under it", func(ctx SpecContext) {
		for range 5 {
			Expect(send(ctx, "/warm")).To(BeNil())
		}
		for _, s := range index.servers {
			if s.upstream.Zone == "zone0" {
				s.stop()
			}
		}
		for n := range 20 {
			Expect(send(ctx, fmt.Sprintf("/after/%d", n))).To(BeNil())
		}
	})
})
