package journal

import (
	"slices"

	"jacinthferry/core/clock"
	"jacinthferry/core/event"
)

const (
	// heldSpan is for how long lines are held for a request that has not ended: at least once and at
	// most twice as long.
	heldSpan = 5 * clock.Second
	// heldRequests is how many requests lines are held for in that time, and heldLines how many of one.
	heldRequests = 1024
	heldLines    = 16
)

// held keeps the events of requests that were not written for their number, until it is known how the
// request ends.
type held struct {
	turned clock.Milli
	// now holds what came since turned, and old what came in the span before.
	now, old map[string][]event.Event
}

func newHeld() *held { return &held{now: make(map[string][]event.Event)} }

// turn forgets the events that were held for long, and returns them.
func (h *held) turn(at clock.Milli) []event.Event {
	if at-h.turned < heldSpan {
		return nil
	}
	var gone []event.Event
	for _, list := range h.old {
		gone = append(gone, list...)
	}
	h.turned, h.old, h.now = at, h.now, make(map[string][]event.Event)

	return gone
}

// add holds an event. It reports false when there is no room.
func (h *held) add(e event.Event) bool {
	list, known := h.now[e.Request]
	if len(list) >= heldLines || (!known && len(h.now) >= heldRequests) {
		return false
	}
	h.now[e.Request] = append(list, e)

	return true
}

// take returns the events held for a request and forgets them.
func (h *held) take(request string) []event.Event {
	list := slices.Concat(h.old[request], h.now[request])
	delete(h.old, request)
	delete(h.now, request)

	return list
}
