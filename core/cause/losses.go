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

// UncleanStop is a daemon that ended without a planned stop: it was killed, crashed or lost power. There are no
// events about the end of the requests that it had taken.
type UncleanStop struct {
	Daemon string
	// LastEvent is when its last event before the end was.
	LastEvent clock.Milli
	// Restarted is when it served again.
	Restarted clock.Milli
}

// UncleanStops returns the daemons that started to serve again without a planned stop before, in order of time.
func UncleanStops(all []event.Event) []UncleanStop {
	sorted := slices.Clone(all)
	slices.SortStableFunc(sorted, func(a, b event.Event) int { return cmp.Compare(a.At, b.At) })
	last := make(map[string]clock.Milli)
	stopped := make(map[string]bool)
	var list []UncleanStop
	for _, e := range sorted {
		if e.Kind == event.Process && e.Detail == serving {
			if at, known := last[e.Daemon]; known && !stopped[e.Daemon] {
				list = append(list, UncleanStop{Daemon: e.Daemon, LastEvent: at, Restarted: e.At})
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
