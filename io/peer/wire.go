package peer

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/home"
	"jacinthferry/core/leg"
	"jacinthferry/core/reason"
	"jacinthferry/core/route"
)

// version is the version of the message format. A reader ignores fields that it does not know.
const version = 1

// message is the unit of the protocol and holds entries of several kinds.
type message struct {
	Version  int               `cbor:"version"`
	Legs     []legRequest      `cbor:"legs,omitempty"`
	Answers  []legResult       `cbor:"answers,omitempty"`
	Cancels  []uint64          `cbor:"cancels,omitempty"`
	Holdings []holdingUpdate   `cbor:"holdings,omitempty"`
	Handover []handoverMessage `cbor:"handover,omitempty"`
	Controls []controlMessage  `cbor:"controls,omitempty"`
	// WantReply asks for any message in return.
	WantReply       bool                `cbor:"beat,omitempty"`
	UpstreamCancels []cancellation      `cbor:"recalls,omitempty"`
	Warnings        []quarantineWarning `cbor:"warnings,omitempty"`
	Submits         []submission        `cbor:"submits,omitempty"`
	Outcomes        []legResult         `cbor:"outcomes,omitempty"`
}

func (m *message) empty() bool {
	return len(m.Legs) == 0 && len(m.Answers) == 0 && len(m.Cancels) == 0 && len(m.Holdings) == 0 &&
		len(m.Controls) == 0 && len(m.UpstreamCancels) == 0 && len(m.Warnings) == 0 &&
		len(m.Submits) == 0 && len(m.Outcomes) == 0 && len(m.Handover) == 0
}

type legRequest struct {
	ID       uint64 `cbor:"id"`
	Request  string `cbor:"request"`
	Service  string `cbor:"service"`
	Release  string `cbor:"release"`
	Upstream string `cbor:"upstream"`
	Snapshot string `cbor:"snapshot"`
	Shard    int    `cbor:"shard"`
	Text     string `cbor:"text,omitempty"`
	Top      int    `cbor:"top,omitempty"`
	// Timeout is the time until the deadline. It is relative because the clocks of two daemons may differ.
	Timeout  clock.Milli `cbor:"left"`
	Attempt  int         `cbor:"attempt,omitempty"`
	Priority string      `cbor:"priority"`
	Submit   bool        `cbor:"submit,omitempty"`
	Body     []byte      `cbor:"body,omitempty"`
}

type legResult struct {
	ID          uint64     `cbor:"id"`
	Reason      string     `cbor:"reason,omitempty"`
	Run         string     `cbor:"run,omitempty"`
	Detail      string     `cbor:"detail,omitempty"`
	Request     string     `cbor:"request,omitempty"`
	Shard       int        `cbor:"shard,omitempty"`
	Snapshot    string     `cbor:"snapshot,omitempty"`
	Release     string     `cbor:"release,omitempty"`
	Incarnation string     `cbor:"incarnation,omitempty"`
	Load        load       `cbor:"load"`
	Documents   []document `cbor:"documents,omitempty"`
	Body        []byte     `cbor:"body,omitempty"`
}

type load struct {
	Running  int  `cbor:"running"`
	Slots    int  `cbor:"slots"`
	Cold     bool `cbor:"cold"`
	Bears    int  `cbor:"bears"`
	Draining bool `cbor:"draining"`
}

type document struct {
	ID    string  `cbor:"id"`
	Score float64 `cbor:"score"`
	Body  string  `cbor:"body"`
}

type holdingUpdate struct {
	Upstream    string `cbor:"upstream"`
	Release     string `cbor:"release"`
	Incarnation string `cbor:"incarnation"`
	Draining    bool   `cbor:"draining,omitempty"`
	Gone        bool   `cbor:"gone,omitempty"`
	Stamp       uint64 `cbor:"stamp"`
	Snapshots   []held `cbor:"snapshots"`
}

type held struct {
	Name   string `cbor:"name"`
	Order  uint64 `cbor:"order"`
	Total  int    `cbor:"total"`
	Shards []int  `cbor:"shards"`
}

func toLegRequest(id uint64, l leg.Leg, now clock.Milli) legRequest {
	return legRequest{
		ID: id, Request: l.Request, Service: l.Service, Release: l.Version, Upstream: l.Upstream,
		Snapshot: l.Snapshot, Shard: l.Shard, Text: l.Text, Top: l.Top, Timeout: l.Deadline - now,
		Attempt: l.Attempt, Priority: string(l.Priority), Submit: l.Submit, Body: l.Body,
	}
}

func (m legRequest) leg(now clock.Milli) leg.Leg {
	return leg.Leg{
		Request: m.Request, Service: m.Service, Version: m.Release, Upstream: m.Upstream,
		Snapshot: m.Snapshot, Shard: m.Shard, Text: m.Text, Top: m.Top, Deadline: now + m.Timeout,
		Attempt: m.Attempt, Priority: leg.Priority(m.Priority), Submit: m.Submit, Body: m.Body,
	}
}

func toLegResult(id uint64, r leg.Result) legResult {
	if r.Refusal != nil {
		return legResult{
			ID: id, Reason: string(r.Refusal.Reason), Run: string(r.Refusal.Run), Detail: r.Refusal.Detail,
		}
	}
	a := legResult{
		ID: id, Request: r.Answer.Request, Shard: r.Answer.Shard, Snapshot: r.Answer.Snapshot,
		Release: r.Answer.Version, Incarnation: r.Answer.Incarnation, Load: load(r.Answer.Load),
		Body: r.Answer.Body,
	}
	for _, d := range r.Answer.Documents {
		a.Documents = append(a.Documents, document(d))
	}

	return a
}

func (a legResult) result() leg.Result {
	if a.Reason != "" {
		run := reason.Execution(a.Run)
		if run != reason.Executed && run != reason.NotExecuted {
			run = reason.ExecutionUnknown
		}

		return leg.Refused(reason.Code(a.Reason), run, a.Detail)
	}
	r := leg.Result{Answer: leg.Answer{
		Request: a.Request, Shard: a.Shard, Snapshot: a.Snapshot, Version: a.Release,
		Incarnation: a.Incarnation, Load: leg.Load(a.Load), Body: a.Body,
	}}
	for _, d := range a.Documents {
		r.Answer.Documents = append(r.Answer.Documents, leg.Document(d))
	}

	return r
}

func toHoldingUpdate(h route.Holding, gone bool) holdingUpdate {
	m := holdingUpdate{
		Upstream: h.Upstream, Release: h.Version, Incarnation: h.Incarnation, Draining: h.Draining, Gone: gone,
		Stamp: h.Stamp,
	}
	for _, s := range h.Snapshots {
		m.Snapshots = append(m.Snapshots, held(s))
	}

	return m
}

func (m holdingUpdate) holding() route.Holding {
	h := route.Holding{
		Upstream: m.Upstream, Version: m.Release, Incarnation: m.Incarnation, Draining: m.Draining,
		Stamp: m.Stamp,
	}
	for _, s := range m.Snapshots {
		h.Snapshots = append(h.Snapshots, route.Held(s))
	}

	return h
}

type handoverMessage struct {
	Kind     string `cbor:"kind"`
	Upstream string `cbor:"upstream,omitempty"`
	Epoch    uint64 `cbor:"epoch"`
	Held     bool   `cbor:"held,omitempty"`
	Running  int    `cbor:"running,omitempty"`
	Zone     string `cbor:"zone,omitempty"`
}

func toHandoverMessage(m home.Message) handoverMessage {
	return handoverMessage{string(m.Kind), m.Upstream, m.Epoch, m.Held, m.Running, m.Zone}
}

func (h handoverMessage) message() home.Message {
	return home.Message{
		Kind: home.Kind(h.Kind), Upstream: h.Upstream, Epoch: h.Epoch, Held: h.Held, Running: max(0, h.Running),
		Zone: h.Zone,
	}
}
