package upstream

import (
	"time"

	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/route"
)

// The procedures that an upstream serves.
const (
	searchProcedure = "/upstream/search"
	submitProcedure = "/upstream/submit"
	reportProcedure = "/upstream/report"
	cancelProcedure = "/upstream/cancel"
)

type legRequest struct {
	Request  string      `json:"request"`
	Service  string      `json:"service"`
	Version  string      `json:"version"`
	Snapshot string      `json:"snapshot"`
	Shard    int         `json:"shard"`
	Text     string      `json:"text,omitempty"`
	Top      int         `json:"top,omitempty"`
	Deadline clock.Milli `json:"deadline"`
	Attempt  int         `json:"attempt"`
	Priority string      `json:"priority"`
	Body     []byte      `json:"body,omitempty"`
}

type legResponse struct {
	Request     string     `json:"request"`
	Shard       int        `json:"shard"`
	Snapshot    string     `json:"snapshot"`
	Version     string     `json:"version"`
	Incarnation string     `json:"incarnation"`
	Load        load       `json:"load"`
	Documents   []document `json:"documents,omitempty"`
	Body        []byte     `json:"body,omitempty"`
}

type load struct {
	Running   int  `json:"running"`
	Slots     int  `json:"slots"`
	Cold      bool `json:"cold"`
	ColdLimit int  `json:"bears"`
	Draining  bool `json:"draining"`
}

type document struct {
	ID    string  `json:"id"`
	Score float64 `json:"score"`
	Body  string  `json:"body"`
}

// cancelRequest identifies a leg that the daemon cancels. The leg's own call still ends with an answer
// or an error, which tells the daemon that the leg has ended.
type cancelRequest struct {
	Request string `json:"request"`
	Shard   int    `json:"shard"`
	Attempt int    `json:"attempt"`
}

type cancelResponse struct {
	Found bool `json:"found"`
}

type reportRequest struct{}

type reportResponse struct {
	Version     string         `json:"version"`
	Incarnation string         `json:"incarnation"`
	Load        load           `json:"load"`
	Snapshots   []heldSnapshot `json:"snapshots"`
}

type heldSnapshot struct {
	Name   string `json:"name"`
	Order  uint64 `json:"order"`
	Total  int    `json:"total"`
	Shards []int  `json:"shards"`
}

func toRequest(l leg.Leg, now clock.Milli) *legRequest {
	return &legRequest{
		Request: l.Request, Service: l.Service, Version: l.Version, Snapshot: l.Snapshot, Shard: l.Shard,
		Text: l.Text, Top: l.Top, Deadline: l.Deadline - now, Attempt: l.Attempt,
		Priority: string(l.Priority), Body: l.Body,
	}
}

func (r *legRequest) leg(now time.Time, submit bool) leg.Leg {
	return leg.Leg{
		Request: r.Request, Service: r.Service, Version: r.Version, Snapshot: r.Snapshot, Shard: r.Shard,
		Text: r.Text, Top: r.Top, Deadline: clock.FromTime(now) + r.Deadline, Attempt: r.Attempt,
		Priority: leg.Priority(r.Priority), Submit: submit, Body: r.Body,
	}
}

func toResponse(a leg.Answer) *legResponse {
	r := &legResponse{
		Request: a.Request, Shard: a.Shard, Snapshot: a.Snapshot, Version: a.Version,
		Incarnation: a.Incarnation, Load: load(a.Load), Body: a.Body,
	}
	for _, d := range a.Documents {
		r.Documents = append(r.Documents, document(d))
	}

	return r
}

func (r *legResponse) answer() leg.Answer {
	a := leg.Answer{
		Request: r.Request, Shard: r.Shard, Snapshot: r.Snapshot, Version: r.Version,
		Incarnation: r.Incarnation, Load: leg.Load(r.Load), Body: r.Body,
	}
	for _, d := range r.Documents {
		a.Documents = append(a.Documents, leg.Document(d))
	}

	return a
}

// Report is an upstream's description of its version, load and snapshots.
type Report struct {
	Version     string
	Incarnation string
	Load        leg.Load
	Snapshots   []route.HeldSnapshot
}

func (r *reportResponse) report() Report {
	report := Report{Version: r.Version, Incarnation: r.Incarnation, Load: leg.Load(r.Load)}
	for _, h := range r.Snapshots {
		report.Snapshots = append(report.Snapshots, route.HeldSnapshot(h))
	}

	return report
}

func toReport(r Report) *reportResponse {
	response := &reportResponse{Version: r.Version, Incarnation: r.Incarnation, Load: load(r.Load)}
	for _, h := range r.Snapshots {
		response.Snapshots = append(response.Snapshots, heldSnapshot(h))
	}

	return response
}
