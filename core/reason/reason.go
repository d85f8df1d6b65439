package reason

// Code is the name of a reason, a single lower-case word.
type Code string

// The reasons that callers, operators, log lines and metrics show.
const (
	// Service says that no such service is configured.
	Service Code = "service"
	// Route says that no route matches the request.
	Route Code = "route"
	// Invalid says that a request is malformed.
	Invalid Code = "invalid"
	// Deadline says that the deadline has passed or cannot be met.
	Deadline Code = "deadline"
	// Overload says that a queue or limit is full.
	Overload Code = "overload"
	// Limit says that the upstream's rate limit leaves no room.
	Limit Code = "limit"
	// Cold says that the upstream is warming up and takes no more work for now.
	Cold Code = "cold"
	// Replica says that no live upstream holds the shard.
	Replica Code = "replica"
	// Snapshot says that the pinned snapshot is no longer available.
	Snapshot Code = "snapshot"
	// Connection says that a connection to an upstream broke or could not be opened.
	Connection Code = "connection"
	// Silent says that an open connection stopped carrying bytes.
	Silent Code = "silent"
	// Peer says that the link to another daemon broke.
	Peer Code = "peer"
	// Home says that the receiving daemon is not the home of the upstream.
	Home Code = "home"
	// Mismatch says that an answer belonged to another request, shard or snapshot.
	Mismatch Code = "mismatch"
	// Failed says that the upstream answered with an error.
	Failed Code = "failed"
	// Draining says that the upstream or daemon is leaving.
	Draining Code = "draining"
	// Cancelled says that the caller cancelled or disconnected.
	Cancelled Code = "cancelled"
	// Coverage says that shards are missing and the caller accepts only complete answers.
	Coverage Code = "coverage"
	// Configuration says that the daemon has no configuration yet.
	Configuration Code = "configuration"
	// Store says that the platform's store is required and cannot be reached.
	Store Code = "store"
	// Compacted says that the store no longer keeps the revision at which a watch was to start.
	Compacted Code = "compacted"
	// Conflict says that another operator's change was applied first.
	Conflict Code = "conflict"
	// Stranger says that a peer or operator failed to authenticate.
	Stranger Code = "stranger"
	// Size says that a body, header or frame exceeds its limit.
	Size Code = "size"
	// Zone says that the availability zone is out of service.
	Zone Code = "zone"
	// Quarantine says that crashes of upstreams are attributed to the request.
	Quarantine Code = "quarantine"
	// Budget says that the retry or hedge budget is exhausted.
	Budget Code = "budget"
	// Slow says that an answer takes longer than usual.
	Slow Code = "slow"
	// Reused says that a request ID was used again with another body.
	Reused Code = "reused"
	// Incarnation says that an upstream's process was replaced by another.
	Incarnation Code = "incarnation"
	// Stale says that there was no news of an upstream for too long.
	Stale Code = "stale"
	// Latency says that an upstream's answers became much slower than usual.
	Latency Code = "latency"
	// Report says that an upstream's own load report is the cause.
	Report Code = "report"
	// Held says that a home may use the full capacity of its upstream, and Lapsed that it no longer may,
	// or that a registration or a lease has ended.
	Held   Code = "held"
	Lapsed Code = "lapsed"
	// Outcome says that a non-idempotent request was sent and its outcome is unknown.
	Outcome Code = "outcome"
	// Expired says that a request ID is too old to tell whether the request was run.
	Expired Code = "expired"
	// Internal says that the fault lies in the daemon itself.
	Internal Code = "internal"
)

// Execution says whether refused work was run by an upstream.
type Execution string

// What can be known about refused work.
const (
	// Executed says that an upstream ran the work.
	Executed Execution = "yes"
	// NotExecuted says that no upstream has run the work or will run it.
	NotExecuted Execution = "no"
	// ExecutionUnknown says that an upstream may have run the work.
	ExecutionUnknown Execution = "unknown"
)

// Refusal is the error for work that was not answered.
type Refusal struct {
	Reason Code
	Run    Execution
	Detail string
}

// NewRefusal returns a Refusal for a reason. The detail is for people and may be empty.
func NewRefusal(word Code, run Execution, detail string) *Refusal {
	return &Refusal{Reason: word, Run: run, Detail: detail}
}

// Error returns the reason, the detail if there is one, and whether the work was run.
func (r *Refusal) Error() string {
	text := string(r.Reason)
	if r.Detail != "" {
		text += ": " + r.Detail
	}

	return text + " (run: " + string(r.Run) + ")"
}
