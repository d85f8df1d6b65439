package cause_test

import (
	"jacinthferry/core/cause"
	"jacinthferry/core/event"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("daemons that ended", func() {
	process := func(at event.Event, detail string) event.Event {
		at.Kind, at.Detail = event.Process, detail

		return at
	}

	It("are returned once they serve again, unless their stop was planned", func() {
		Expect(cause.UncleanStops([]event.Event{
			process(event.Event{At: 1, Daemon: "killed"}, "serving"),
			process(event.Event{At: 1, Daemon: "stopped"}, "serving"),
			{At: 5, Daemon: "killed", Kind: event.Answer},
			process(event.Event{At: 6, Daemon: "stopped"}, "stopping"),
			{At: 7, Daemon: "stopped", Kind: event.Answer},
			process(event.Event{At: 9, Daemon: "stopped"}, "serving"),
			process(event.Event{At: 8, Daemon: "killed"}, "serving"),
		})).To(Equal([]cause.UncleanStop{{Daemon: "killed", LastEvent: 5, Restarted: 8}}))
	})
})
