package peer

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/manifest"
	"jacinthferry/core/member"
	"jacinthferry/core/route"
	"jacinthferry/core/spread"
)

// FuzzFrame dispatches messages of any content. None may panic, and nothing of a message with an invalid control
// message may reach a handler.
func FuzzFrame(f *testing.F) {
	change, err := toControlMessage(Control{Spread: &spread.Message{Kind: spread.Change, Change: manifest.Change{To: 3, Head: "{}"}}})
	if err != nil {
		f.Fatal(err)
	}
	ping, err := toControlMessage(Control{Member: &member.Message{Kind: member.Ping, Updates: []member.Update{{Member: member.Member{Name: "a"}}}}})
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range []message{
		{Version: version, Controls: []controlMessage{change, ping}, Cancels: []uint64{1}},
		{Version: version, Legs: []legRequest{{ID: 1}}, Answers: []legResult{{ID: 2}}, Holdings: []holdingUpdate{{Upstream: "u"}}},
	} {
		data, err := cbor.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		dispatched := 0
		l := &Link{handlers: Handlers{
			Now:     func() clock.Milli { return 1 },
			Leg:     func(*Link, uint64, leg.Leg) { dispatched++ },
			Answer:  func(uint64, leg.Result) { dispatched++ },
			Cancel:  func(*Link, uint64, string) { dispatched++ },
			Holding: func(*Link, route.Holding, bool) { dispatched++ },
			Control: func(_ *Link, c Control) {
				dispatched++
				if c.Member != nil {
					v := member.New(0, member.Member{Name: "self"}, 1, member.Default(), 1)
					v.Receive(1, "a", *c.Member)
					v.Tick(2)
				}
				if c.Spread != nil {
					var s spread.Spread
					_, _, _ = s.Changed(1, "a", c.Spread.Change, nil)
				}
			},
		}}
		decoded, err := decode(data)
		if err != nil {
			return
		}
		if err := l.dispatch(decoded); err != nil && dispatched > 0 {
			t.Fatal("part of an invalid message reached a handler")
		}
	})
}
