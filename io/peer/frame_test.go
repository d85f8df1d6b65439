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

// FuzzFrame delivers frames of any content. None may panic, and of one with a control message that
// cannot be used nothing may be handed out.
func FuzzFrame(f *testing.F) {
	change, err := toControl(Control{Spread: &spread.Message{Kind: spread.Change, Change: manifest.Change{To: 3, Head: "{}"}}})
	if err != nil {
		f.Fatal(err)
	}
	ping, err := toControl(Control{Member: &member.Message{Kind: member.Ping, Updates: []member.Update{{Member: member.Member{Name: "a"}}}}})
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range []frame{
		{Version: version, Controls: []control{change, ping}, Cancels: []uint64{1}},
		{Version: version, Legs: []legMessage{{ID: 1}}, Answers: []answer{{ID: 2}}, Holdings: []holdMessage{{Upstream: "u"}}},
	} {
		text, err := cbor.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		handed := 0
		l := &Link{handlers: Handlers{
			Now:     func() clock.Milli { return 1 },
			Leg:     func(*Link, uint64, leg.Leg) { handed++ },
			Answer:  func(uint64, leg.Result) { handed++ },
			Cancel:  func(*Link, uint64, string) { handed++ },
			Holding: func(*Link, route.Holding, bool) { handed++ },
			Control: func(_ *Link, c Control) {
				handed++
				if c.Member != nil {
					v := member.NewView(0, member.Member{Name: "self"}, 1, member.DefaultPolicy(), 1)
					v.Receive(1, "a", *c.Member)
					v.Tick(2)
				}
				if c.Spread != nil {
					var s spread.Disseminator
					_, _, _ = s.HandleChange(1, "a", c.Spread.Change, nil)
				}
			},
		}}
		decoded, err := decode(text)
		if err != nil {
			return
		}
		if err := l.deliver(decoded); err != nil && handed > 0 {
			t.Fatal("part of a bad frame was handed out")
		}
	})
}
