package ledger_test

import (
	"fmt"
	"testing"

	"jacinthferry/core/clock"
	"jacinthferry/core/ledger"
	"jacinthferry/core/leg"
)

// BenchmarkSubmit measures a request from its arrival to its recorded outcome, on a page that holds up
// to size ids, with ids requests in each write.
func BenchmarkSubmit(b *testing.B) {
	for _, c := range []struct{ size, ids int }{{10, 1}, {100, 1}, {1000, 1}, {1000, 100}} {
		b.Run(fmt.Sprintf("size=%d/ids=%d", c.size, c.ids), func(b *testing.B) {
			b.ReportAllocs()
			now, n := clock.Milli(1e6), 0
			var p *ledger.Page
			for b.Loop() {
				if n%c.size == 0 {
					p = ledger.NewPage("one", ledger.Config{MaxEntries: c.size + c.ids, MinWriteInterval: 1, RetryInterval: 1})
					p.HandleLoaded(now, nil, 0)
				}
				now += 10
				for range c.ids {
					n++
					id := fmt.Sprintf("0-%d", n)
					p.HandleSubmit(now, ledger.Request{WaiterID: uint64(n), ID: id, RequestHash: "s", Deadline: now + 1000})
				}
				p.HandleTimeout(now + 1)
				for _, a := range p.HandleWritten(now+2, int64(n)) {
					if a.Kind == ledger.Run {
						p.HandleResult(now+3, a.ID, leg.Result{})
					}
				}
				p.HandleTimeout(now + 4)
				p.HandleWritten(now+5, int64(n)+1)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(n), "µs/submit")
		})
	}
}
