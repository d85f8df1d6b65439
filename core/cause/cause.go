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
	// around is how far from a request events of other requests tell of the same trouble.
	around = 2 * clock.Second
	// before is how far back the end of an upstream, or the start of a daemon, explains a request.
	before = 15 * clock.Second
)

// Cause is a reason why a request went as it did, with what it is concluded from.
type Cause struct {
	Text string `json:"text"`
	// Events is how many events tell of it.
	Events int         `json:"events"`
	First  clock.Milli `json:"first"`
	Last   clock.Milli `json:"last"`
}

// Finding is what is known of one request.
type Finding struct {
	// Lines are the events of the request, oldest first.
	Lines []event.Event
	// Causes are what explains them, the likeliest first.
	Causes []Cause
}

// Explain looks for the causes of what happened to a request. It reports false when no event has the
// request's id.
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
		s.unconfigured(last)
	case reason.Route:
		s.add(Cause{Text: fmt.Sprintf("no route matches; %s followed revision %d", last.Daemon, s.revision(last)), Events: 1})
	case reason.Cancelled:
		s.add(Cause{Text: "the caller left", Events: 1, First: last.At, Last: last.At})
	default:
	}
	s.upstreams()
	s.missing(last)
	s.late()
	slices.SortStableFunc(s.causes, func(a, b Cause) int { return cmp.Compare(b.Events, a.Events) })

	return Finding{Lines: s.own, Causes: s.causes}, true
}

// search is one look for causes.
type search struct {
	all, own []event.Event
	causes   []Cause
}

func (s *search) add(c Cause) { s.causes = append(s.causes, c) }

// times returns when the first and the last of some events were.
func times(list []event.Event) (first, last clock.Milli) {
	first, last = list[0].At, list[0].At
	for _, e := range list {
		first, last = min(first, e.At), max(last, e.At)
	}

	return first, last
}

// near returns the events that a test accepts from a span before the request to a span after it.
func (s *search) near(back, ahead clock.Milli, accept func(*event.Event) bool) []event.Event {
	from, to := s.own[0].At-back, s.own[len(s.own)-1].At+ahead
	var list []event.Event
	for i := range s.all {
		if e := &s.all[i]; e.At >= from && e.At <= to && accept(e) {
			list = append(list, *e)
		}
	}

	return list
}

// unconfigured explains why a daemon had no configuration: it had just started, or lost the store.
func (s *search) unconfigured(last event.Event) {
	starts := s.near(before, 0, func(e *event.Event) bool {
		return e.Kind == event.Process && e.Detail == serving && e.Daemon == last.Daemon
	})
	lost := s.near(before, 0, func(e *event.Event) bool {
		return e.Kind == event.Store && strings.HasPrefix(e.Detail, "lost") && e.Daemon == last.Daemon
	})
	if len(lost) > 0 {
		first, end := times(lost)
		s.add(Cause{
			Text:   fmt.Sprintf("%s could not reach the store: %s", last.Daemon, lost[len(lost)-1].Detail),
			Events: len(lost) + 1, First: first, Last: end,
		})
	}
	if len(starts) > 0 {
		first, end := times(starts)
		s.add(Cause{Text: last.Daemon + " had just started", Events: len(starts), First: first, Last: end})
	}
}

// revision returns the store revision that a daemon followed at an event.
func (s *search) revision(at event.Event) uint64 {
	var found uint64
	for _, e := range s.all {
		if e.Kind == event.Revision && e.Daemon == at.Daemon && e.At <= at.At {
			found = max(found, e.Revision)
		}
	}

	return found
}

// trouble is what events at upstreams have in common.
type trouble struct {
	what      string
	events    []event.Event
	upstreams map[string]bool
	services  map[string]bool
	requests  map[string]bool
}

// upstreams explains failures by what other requests saw at the same time, at the same upstreams and
// at others.
func (s *search) upstreams() {
	mine := make(map[string]bool)
	for i := range s.own {
		if e := &s.own[i]; failure(e) {
			mine[what(e)] = true
		}
	}
	list := s.near(around, around, func(e *event.Event) bool { return failure(e) && mine[what(e)] })
	byWhat := make(map[string]*trouble)
	var order []*trouble
	for i := range list {
		e := &list[i]
		t := byWhat[what(e)]
		if t == nil {
			t = &trouble{
				what: what(e), upstreams: make(map[string]bool), services: make(map[string]bool), requests: make(map[string]bool),
			}
			byWhat[t.what] = t
			order = append(order, t)
		}
		t.events = append(t.events, *e)
		t.upstreams[e.Upstream], t.services[e.Service], t.requests[e.Request] = true, true, true
	}
	for _, t := range order {
		first, last := times(t.events)
		s.add(Cause{Text: t.String(), Events: len(t.events), First: first, Last: last})
	}
}

func (t *trouble) String() string {
	at := fmt.Sprintf("%d upstreams of %d services", len(t.upstreams), len(t.services))
	if len(t.upstreams) == 1 {
		at = fmt.Sprintf("upstream %s of %s", t.events[0].Upstream, t.events[0].Service)
	}

	return fmt.Sprintf("%s: %s, in %d requests", at, t.what, len(t.requests))
}

// failure reports whether an event tells of a failure at an upstream.
func failure(e *event.Event) bool {
	return e.Upstream != "" && e.Request != "" && (e.Kind == event.Connection || e.Kind == event.Upstream)
}

// what returns what went wrong: the last part of an error, or a status.
func what(e *event.Event) string {
	text := e.Detail
	if i := strings.LastIndex(text, ": "); i >= 0 {
		text = text[i+2:]
	}

	return strings.TrimSpace(string(e.Reason) + ", " + text)
}

// missing explains shards that an answer lacks, or that too few of are there, by upstreams that ended.
func (s *search) missing(last event.Event) {
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
	gone := s.near(before, 0, func(e *event.Event) bool {
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
	first, end := times(gone)
	s.add(Cause{
		Text:   fmt.Sprintf("%d upstreams ended or drained, such as %s", len(upstreams), gone[0].Upstream),
		Events: len(gone), First: first, Last: end,
	})
}

// late explains a request by upstreams that were late, when others were late at the same ones.
func (s *search) late() {
	mine := make(map[string]bool)
	for _, e := range s.own {
		if e.Kind == event.Hedge {
			mine[e.Service] = true
		}
	}
	if len(mine) == 0 {
		return
	}
	list := s.near(around, around, func(e *event.Event) bool { return e.Kind == event.Hedge && mine[e.Service] })
	first, last := times(list)
	s.add(Cause{
		Text:   fmt.Sprintf("upstreams of %d services were late", len(mine)),
		Events: len(list), First: first, Last: last,
	})
}
