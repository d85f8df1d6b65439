package cause

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/reason"
)

const (
	// correlationSpan is how long before and after a request failures of other requests count as related.
	correlationSpan = 2 * clock.Second
	// lookback is how long before a request the end of an upstream, the start of a daemon or the loss of
	// the store can explain it.
	lookback = 15 * clock.Second
)

// Cause is a likely cause of how a request ended, with the events that it is concluded from.
type Cause struct {
	Text string `json:"text"`
	// Events is the number of those events, and First and Last are when the first and the last of them
	// were, or 0 if that is not known.
	Events int         `json:"events"`
	First  clock.Milli `json:"first"`
	Last   clock.Milli `json:"last"`
}

// Finding is what the events tell of one request.
type Finding struct {
	// Events are the events of the request, oldest first.
	Events []event.Event
	// Causes are the likely causes, those with the most events first.
	Causes []Cause
}

// Explain returns the events of a request and their likely causes. It reports false if no event has the
// request's ID.
func Explain(all []event.Event, id string) (Finding, bool) {
	s := &search{all: all}
	for _, e := range all {
		if e.Request == id {
			s.own = append(s.own, e)
		}
	}
	if len(s.own) == 0 {
		return Finding{}, false
	}
	slices.SortStableFunc(s.own, func(a, b event.Event) int { return cmp.Compare(a.At, b.At) })
	last := s.own[len(s.own)-1]
	switch last.Reason {
	case reason.Configuration, reason.Store:
		s.explainConfiguration(last)
	case reason.Route:
		s.addCause(Cause{
			Text:   fmt.Sprintf("no route matches; %s used configuration revision %d", last.Daemon, s.revisionAt(last)),
			Events: 1,
		})
	case reason.Cancelled:
		s.addCause(Cause{Text: "the caller cancelled or disconnected", Events: 1, First: last.At, Last: last.At})
	default:
	}
	s.explainFailures()
	s.explainMissing(last)
	s.explainSlow()
	slices.SortStableFunc(s.causes, func(a, b Cause) int { return cmp.Compare(b.Events, a.Events) })

	return Finding{Events: s.own, Causes: s.causes}, true
}

// search is the search for the causes of one request: own are the events of the request among all.
type search struct {
	all, own []event.Event
	causes   []Cause
}

func (s *search) addCause(c Cause) { s.causes = append(s.causes, c) }

// timeRange returns when the first and the last of some events were. The list must not be empty.
func timeRange(list []event.Event) (first, last clock.Milli) {
	first, last = list[0].At, list[0].At
	for _, e := range list {
		first, last = min(first, e.At), max(last, e.At)
	}

	return first, last
}

// eventsNear returns the accepted events from a span before the request to a span after it.
func (s *search) eventsNear(before, after clock.Milli, accept func(*event.Event) bool) []event.Event {
	from, to := s.own[0].At-before, s.own[len(s.own)-1].At+after
	var list []event.Event
	for i := range s.all {
		if e := &s.all[i]; e.At >= from && e.At <= to && accept(e) {
			list = append(list, *e)
		}
	}

	return list
}

// explainConfiguration explains why a daemon had no configuration: it had just started, or lost the store.
func (s *search) explainConfiguration(last event.Event) {
	starts := s.eventsNear(lookback, 0, func(e *event.Event) bool {
		return e.Kind == event.Process && e.Detail == serving && e.Daemon == last.Daemon
	})
	lost := s.eventsNear(lookback, 0, func(e *event.Event) bool {
		return e.Kind == event.Store && strings.HasPrefix(e.Detail, "lost") && e.Daemon == last.Daemon
	})
	if len(lost) > 0 {
		first, end := timeRange(lost)
		s.addCause(Cause{
			Text:   fmt.Sprintf("%s could not reach the store: %s", last.Daemon, lost[len(lost)-1].Detail),
			Events: len(lost) + 1, First: first, Last: end,
		})
	}
	if len(starts) > 0 {
		first, end := timeRange(starts)
		s.addCause(Cause{Text: last.Daemon + " had just started", Events: len(starts), First: first, Last: end})
	}
}

// revisionAt returns the configuration revision that a daemon used at an event, or 0 if that is not known.
func (s *search) revisionAt(at event.Event) uint64 {
	var found uint64
	for _, e := range s.all {
		if e.Kind == event.Revision && e.Daemon == at.Daemon && e.At <= at.At {
			found = max(found, e.Revision)
		}
	}

	return found
}

// failureGroup is the failures at upstreams with the same text.
type failureGroup struct {
	text      string
	events    []event.Event
	upstreams map[string]bool
	services  map[string]bool
	requests  map[string]bool
}

// explainFailures explains failures at upstreams by the same failures of other requests at about the same
// time, at the same upstreams and at others.
func (s *search) explainFailures() {
	texts := make(map[string]bool)
	for i := range s.own {
		if e := &s.own[i]; isFailure(e) {
			texts[failureText(e)] = true
		}
	}
	list := s.eventsNear(correlationSpan, correlationSpan, func(e *event.Event) bool {
		return isFailure(e) && texts[failureText(e)]
	})
	byText := make(map[string]*failureGroup)
	var groups []*failureGroup
	for i := range list {
		e := &list[i]
		g := byText[failureText(e)]
		if g == nil {
			g = &failureGroup{
				text: failureText(e), upstreams: make(map[string]bool), services: make(map[string]bool),
				requests: make(map[string]bool),
			}
			byText[g.text] = g
			groups = append(groups, g)
		}
		g.events = append(g.events, *e)
		g.upstreams[e.Upstream], g.services[e.Service], g.requests[e.Request] = true, true, true
	}
	for _, g := range groups {
		first, last := timeRange(g.events)
		s.addCause(Cause{Text: g.String(), Events: len(g.events), First: first, Last: last})
	}
}

func (g *failureGroup) String() string {
	where := fmt.Sprintf("%d upstreams of %d services", len(g.upstreams), len(g.services))
	if len(g.upstreams) == 1 {
		where = fmt.Sprintf("upstream %s of %s", g.events[0].Upstream, g.events[0].Service)
	}

	return fmt.Sprintf("%s: %s, in %d requests", where, g.text, len(g.requests))
}

// isFailure reports whether an event is the failure of a request at an upstream.
func isFailure(e *event.Event) bool {
	return e.Upstream != "" && e.Request != "" && (e.Kind == event.Connection || e.Kind == event.Upstream)
}

// failureText returns the reason of a failure and the last part of its error, or its status.
func failureText(e *event.Event) string {
	text := e.Detail
	if i := strings.LastIndex(text, ": "); i >= 0 {
		text = text[i+2:]
	}

	return strings.TrimSpace(string(e.Reason) + ", " + text)
}

// explainMissing explains services that did not answer, or that had too few upstreams, by upstreams that
// ended or drained.
func (s *search) explainMissing(last event.Event) {
	services := make(map[string]bool)
	if rest, ok := strings.CutPrefix(last.Detail, "without "); ok {
		names, _, _ := strings.Cut(rest, ",")
		for name := range strings.FieldsSeq(names) {
			services[name] = true
		}
	}
	if len(services) == 0 {
		return
	}
	gone := s.eventsNear(lookback, 0, func(e *event.Event) bool {
		return e.Kind == event.Upstream && e.Request == "" && services[e.Service] &&
			(e.Reason == reason.Lapsed || e.Reason == reason.Draining)
	})
	if len(gone) == 0 {
		return
	}
	upstreams := make(map[string]bool)
	for _, e := range gone {
		upstreams[e.Upstream] = true
	}
	first, end := timeRange(gone)
	s.addCause(Cause{
		Text:   fmt.Sprintf("%d upstreams ended or drained, such as %s", len(upstreams), gone[0].Upstream),
		Events: len(gone), First: first, Last: end,
	})
}

// explainSlow explains a request whose legs were hedged by the hedges of other requests to the same
// services.
func (s *search) explainSlow() {
	services := make(map[string]bool)
	for _, e := range s.own {
		if e.Kind == event.Hedge {
			services[e.Service] = true
		}
	}
	if len(services) == 0 {
		return
	}
	list := s.eventsNear(correlationSpan, correlationSpan, func(e *event.Event) bool {
		return e.Kind == event.Hedge && services[e.Service]
	})
	first, last := timeRange(list)
	s.addCause(Cause{
		Text:   fmt.Sprintf("upstreams of %d services were late", len(services)),
		Events: len(list), First: first, Last: last,
	})
}
