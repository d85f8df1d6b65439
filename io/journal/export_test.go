package journal

import "jacinthferry/core/event"

// Written has a journal pass the events that it writes to f, with how many were left out before each,
// in place of the log.
func (j *Journal) Written(f func(e event.Event, skipped int)) {
	j.write = func(l *line) { f(l.Event, l.skipped) }
}
