package journal

import "jacinthferry/core/event"

// SetWriteHook makes the journal pass events to f instead of writing them to the log. The second argument
// of f is the number of events that were left out before.
func (j *Journal) SetWriteHook(f func(e event.Event, skipped int)) {
	j.write = func(l *line) { f(l.Event, l.skipped) }
}
