package cause

import (
	"cmp"
	"slices"

	"jacinthferry/core/clock"
	"jacinthferry/core/event"
)

// Details of events of the kind Process.
const (
	serving  = "serving"
	stopping = "stopping"
)

// Loss is a daemon that ended without a planned stop: it was killed, crashed or lost power. There are no
// events about the end of the requests that it had taken.
type Loss struct {
	Daemon string
	// Last is when its last event before the end was.
	Last clock.Milli
	// Started is when it served again.
	Started clock.Milli
}

// Losses returns the daemons that started to serve again without a planned stop before, in order of time.
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
