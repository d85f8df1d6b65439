package journal

import (
	"slices"

	"jacinthferry/core/clock"
	"jacinthferry/core/event"
)

const (
	// rotationInterval is the time between two rotations. Events of a request that has not ended are
	// kept for at least one and at most two intervals.
	rotationInterval = 5 * clock.Second
	// maxDeferredRequests bounds the requests with deferred events in one interval, and
	// maxDeferredPerRequest the deferred events of one request.
	maxDeferredRequests   = 1024
	maxDeferredPerRequest = 16
)

// deferredEvents keeps events that exceeded the rate limit until the outcome of their request is
// known.
type deferredEvents struct {
	lastRotation clock.Milli
	// current holds the events since lastRotation, and previous those of the interval before, both by
	// request id.
	current, previous map[string][]event.Event
}

func newDeferredEvents() *deferredEvents {
	return &deferredEvents{current: make(map[string][]event.Event)}
}

// rotate removes and returns the events that have expired.
func (d *deferredEvents) rotate(at clock.Milli) []event.Event {
	if at-d.lastRotation < rotationInterval {
		return nil
	}
	var expired []event.Event
	for _, list := range d.previous {
		expired = append(expired, list...)
	}
	d.lastRotation, d.previous, d.current = at, d.current, make(map[string][]event.Event)

	return expired
}

// add keeps an event. It reports false if a limit is reached.
func (d *deferredEvents) add(e event.Event) bool {
	list, ok := d.current[e.Request]
	if len(list) >= maxDeferredPerRequest || (!ok && len(d.current) >= maxDeferredRequests) {
		return false
	}
	d.current[e.Request] = append(list, e)

	return true
}

// remove removes and returns the events of a request, oldest first.
func (d *deferredEvents) remove(request string) []event.Event {
	list := slices.Concat(d.previous[request], d.current[request])
	delete(d.previous, request)
	delete(d.current, request)

	return list
}
