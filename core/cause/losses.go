package cause

import (
	"cmp"
	"slices"

	"jacinthferry/core/clock"
	"jacinthferry/core/event"
)

// The details of events of the kind Process.
const (
	serving  = "serving"
	stopping = "stopping"
)

// Loss is a daemon that ended without a planned stop: it was killed, crashed or lost power. Requests that
// it had taken have no line about their end.
type Loss struct {
	Daemon string
	// Last is its last line before, and Started when it served again.
	Last    clock.Milli
	Started clock.Milli
}

// Losses returns the daemons that served again without having stopped, in the order of time.
func Losses(all []event.Event) []Loss {
	sorted := slices.Clone(all)
	slices.SortStableFunc(sorted, func(a, b event.Event) int { return cmp.Compare(a.At, b.At) })
	last := make(map[string]clock.Milli)
	stopped := make(map[string]bool)
	var list []Loss
	for _, e := range sorted {
		if e.Kind == event.Process && e.Detail == serving {
			if at, known := last[e.Daemon]; known && !stopped[e.Daemon] {
				list = append(list, Loss{Daemon: e.Daemon, Last: at, Started: e.At})
			}
			stopped[e.Daemon] = false
		}
		if e.Kind == event.Process && e.Detail == stopping {
			stopped[e.Daemon] = true
		}
		if e.Daemon != "" {
			last[e.Daemon] = e.At
		}
	}

	return list
}
