package gateway

import (
	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/reason"
)

// stopAt returns when a planned stop ends the requests that are in progress, or 0 while none is under way.
func (g *Gateway) stopAt() clock.Milli {
	if g.options.StopAt == nil {
		return 0
	}

	return g.options.StopAt()
}

// fitsBefore reports whether a call may be accepted although a planned stop ends it at an instant: one that may run
// once only if its whole time fits, as its caller could not repeat it, and any other if there is time for an answer
// within the route's objective.
func fitsBefore(stopAt clock.Milli, call *Call, route *catalog.Route) bool {
	needed := min(call.Timeout, route.Timeout)
	if route.Idempotent {
		needed = min(needed, route.Objective)
	}

	return call.Arrived+needed <= stopAt
}

// refuseStopping refuses a call that may outlast a planned stop. The caller may try another daemon at once.
func (g *Gateway) refuseStopping(call *Call, route *catalog.Route) Response {
	g.options.Record(event.Event{
		Kind: event.Refusal, Reason: reason.Draining, Service: route.Name, Request: call.ID,
		Detail: "may outlast the planned stop of this daemon, run no",
	})

	return Response{Refusal: reason.NewRefusal(reason.Draining, reason.NotExecuted, "")}
}
