package caller

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/query"
	"jacinthferry/core/reason"
)

// The paths of the procedures that a daemon serves to callers.
const (
	entriesProcedure = "/caller/entries"
	queryProcedure   = "/caller/query"
	submitProcedure  = "/caller/submit"
)

type entriesRequest struct {
	Zone string `json:"zone,omitempty"`
}

type entriesResponse struct {
	Entries []entry     `json:"entries"`
	Keep    clock.Milli `json:"keep"`
}

type entry struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

type queryRequest struct {
	ID       string      `json:"id,omitempty"`
	Service  string      `json:"service"`
	Caller   string      `json:"caller,omitempty"`
	Text     string      `json:"text"`
	Top      int         `json:"top,omitempty"`
	Deadline clock.Milli `json:"deadline,omitempty"`
	Priority string      `json:"priority,omitempty"`
	Partial  bool        `json:"partial,omitempty"`
}

type queryResponse struct {
	ID        string     `json:"id"`
	Snapshot  string     `json:"snapshot"`
	Version   string     `json:"version"`
	Covered   int        `json:"covered"`
	Total     int        `json:"total"`
	Missing   []missing  `json:"missing,omitempty"`
	Documents []document `json:"documents"`
	Legs      int        `json:"legs"`
}

type missing struct {
	Shard  int         `json:"shard"`
	Reason reason.Code `json:"reason"`
}

type document struct {
	ID    string  `json:"id"`
	Score float64 `json:"score"`
	Body  string  `json:"body"`
}

type submitRequest struct {
	ID       string      `json:"id"`
	Service  string      `json:"service"`
	Body     string      `json:"body"`
	Deadline clock.Milli `json:"deadline,omitempty"`
	Priority string      `json:"priority,omitempty"`
	Resend   bool        `json:"resend,omitempty"`
}

type submitResponse struct {
	ID      string `json:"id"`
	Outcome string `json:"outcome"`
}

func toQueryResponse(id string, r *query.Reply) *queryResponse {
	response := &queryResponse{
		ID: id, Snapshot: r.Snapshot, Version: r.Version, Covered: r.Covered, Total: r.Total,
		Legs: r.Legs, Documents: make([]document, 0, len(r.Documents)),
	}
	for _, m := range r.Missing {
		response.Missing = append(response.Missing, missing(m))
	}
	for _, d := range r.Documents {
		response.Documents = append(response.Documents, document(d))
	}

	return response
}

func (r *queryResponse) reply() query.Reply {
	reply := query.Reply{
		Snapshot: r.Snapshot, Version: r.Version, Covered: r.Covered, Total: r.Total, Legs: r.Legs,
	}
	for _, m := range r.Missing {
		reply.Missing = append(reply.Missing, query.Missing(m))
	}
	for _, d := range r.Documents {
		reply.Documents = append(reply.Documents, leg.Document(d))
	}

	return reply
}
