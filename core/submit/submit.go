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
	// Resend is set if the caller has sent a request with this ID before.
	Resend bool
}

// Plan is the order in which one request is sent to the upstreams of a snapshot.
type Plan struct {
	request     Request
	snapshot    route.Snapshot
	replicas    []route.Replica
	attempt     int
	maxAttempts int
}

// NewPlan returns a plan that tries at most attempts upstreams. The random number start chooses the first
// one.
func NewPlan(request Request, snapshot route.Snapshot, attempts int, start uint64) *Plan {
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
	p.maxAttempts = min(attempts, len(p.replicas))
	if n := len(p.replicas); n > 0 {
		first := int(start % uint64(n))
		p.replicas = append(p.replicas[first:n:n], p.replicas[:first]...)
	}

	return p
}

// Next returns the next leg and its replica, or false if no attempt is left or the deadline has passed.
func (p *Plan) Next(now clock.Milli) (leg.Leg, route.Replica, bool) {
	if p.attempt == p.maxAttempts || now >= p.request.Deadline {
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

// Retryable reports whether the request may be sent to another upstream. Only a refusal that rules out
// that the request was executed allows this.
func Retryable(result leg.Result) bool {
	return result.Refusal != nil && result.Refusal.Run == reason.NotExecuted
}

// CheckAnswer returns the result, or a refusal if the result is an answer to another request.
func CheckAnswer(l leg.Leg, result leg.Result) leg.Result {
	if result.Refusal == nil && result.Answer.Request != l.Request {
		return leg.Refused(reason.Mismatch, reason.ExecutionUnknown, "the upstream answered another request")
	}

	return result
}
