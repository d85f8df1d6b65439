package submit

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/reason"
	"jacinthferry/core/route"
)

// Request is a non-idempotent request.
type Request struct {
	ID       string
	Service  string
	Body     string
	Deadline clock.Milli
	Priority leg.Priority
	// Resend says that the caller sent the id before.
	Resend bool
}

// Plan is the way of one request over the upstreams of a snapshot's version.
type Plan struct {
	request  Request
	snapshot route.Snapshot
	replicas []route.Replica
	attempt  int
	attempts int
}

// New returns a plan that tries at most attempts upstreams, beginning with the one that start, a
// random number, points at.
func New(request Request, snapshot route.Snapshot, attempts int, start uint64) *Plan {
	p := &Plan{request: request, snapshot: snapshot}
	seen := make(map[string]bool)
	for _, replicas := range snapshot.Shards {
		for _, r := range replicas {
			if !seen[r.Upstream] {
				seen[r.Upstream] = true
				p.replicas = append(p.replicas, r)
			}
		}
	}
	p.attempts = min(attempts, len(p.replicas))
	if n := len(p.replicas); n > 0 {
		at := int(start % uint64(n))
		p.replicas = append(p.replicas[at:n:n], p.replicas[:at]...)
	}

	return p
}

// Next returns the leg to send and where, or false when there is nobody left to ask or no time.
func (p *Plan) Next(now clock.Milli) (leg.Leg, route.Replica, bool) {
	if p.attempt == p.attempts || now >= p.request.Deadline {
		return leg.Leg{}, route.Replica{}, false
	}
	r := p.replicas[p.attempt]
	l := leg.Leg{
		Request: p.request.ID, Service: p.request.Service, Version: p.snapshot.Version, Upstream: r.Upstream,
		Snapshot: p.snapshot.Name, Deadline: p.request.Deadline, Attempt: p.attempt,
		Priority: p.request.Priority, Submit: true, Body: []byte(p.request.Body),
	}
	p.attempt++

	return l, r, true
}

// Retryable reports whether the result allows the request to be sent to another upstream: only a
// refusal that says for sure that it was not run does.
func Retryable(result leg.Result) bool {
	return result.Refusal != nil && result.Refusal.Run == reason.NotExecuted
}

// Check returns the result, or a refusal if it is an answer to something else.
func Check(l leg.Leg, result leg.Result) leg.Result {
	if result.Refusal == nil && result.Answer.Request != l.Request {
		return leg.Refused(reason.Mismatch, reason.ExecutionUnknown, "the upstream answered another request")
	}

	return result
}
