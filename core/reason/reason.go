package reason

// Word is the name of a reason, a single lower-case word.
type Word string

// The reasons that callers, operators, log lines and metrics show.
const (
	// Service says that no such service is configured.
	Service Word = "service"
	// Route says that no route matches the request.
	Route Word = "route"
	// Invalid says that a request is malformed.
	Invalid Word = "invalid"
	// Deadline says that the deadline has passed or cannot be met.
	Deadline Word = "deadline"
	// Overload says that a queue or limit is full.
	Overload Word = "overload"
	// Cold says that the upstream is warming up and takes no more work for now.
	Cold Word = "cold"
	// Replica says that no live upstream holds the shard.
	Replica Word = "replica"
	// Snapshot says that the pinned snapshot is no longer available.
	Snapshot Word = "snapshot"
	// Connection says that a connection to an upstream broke or could not be opened.
	Connection Word = "connection"
	// Silent says that an open connection stopped carrying bytes.
	Silent Word = "silent"
	// Peer says that the link to another daemon broke.
	Peer Word = "peer"
	// Home says that the receiving daemon is not the home of the upstream.
	Home Word = "home"
	// Mismatch says that an answer belonged to another request, shard or snapshot.
	Mismatch Word = "mismatch"
	// Failed says that the upstream answered with an error.
	Failed Word = "failed"
	// Draining says that the upstream or daemon is leaving.
	Draining Word = "draining"
	// Cancelled says that the caller cancelled or disconnected.
	Cancelled Word = "cancelled"
	// Coverage says that shards are missing and the caller accepts only complete answers.
	Coverage Word = "coverage"
	// Configuration says that the daemon has no configuration yet.
	Configuration Word = "configuration"
	// Store says that the platform's store is required and cannot be reached.
	Store Word = "store"
	// Compacted says that the store no longer keeps the revision at which a watch was to start.
	Compacted Word = "compacted"
	// Conflict says that another operator's change was applied first.
	Conflict Word = "conflict"
	// Stranger says that a peer or operator failed to authenticate.
	Stranger Word = "stranger"
	// Size says that a body, header or frame exceeds its limit.
	Size Word = "size"
	// Zone says that the availability zone is out of service.
	Zone Word = "zone"
	// Quarantine says that crashes of upstreams are attributed to the request.
	Quarantine Word = "quarantine"
	// Budget says that the retry or hedge budget is exhausted.
	Budget Word = "budget"
	// Slow says that an answer takes longer than usual.
	Slow Word = "slow"
	// Reused says that a request ID was used again with another body.
	Reused Word = "reused"
	// Incarnation says that an upstream's process was replaced by another.
	Incarnation Word = "incarnation"
	// Stale says that there was no news of an upstream for too long.
	Stale Word = "stale"
	// Latency says that an upstream's answers became much slower than usual.
	Latency Word = "latency"
	// Report says that an upstream's own load report is the cause.
	Report Word = "report"
	// Held says that a home may use the full capacity of its upstream, and Lapsed that it no longer may,
	// or that a registration or a lease has ended.
	Held   Word = "held"
	Lapsed Word = "lapsed"
	// Outcome says that a non-idempotent request was sent and its outcome is unknown.
	Outcome Word = "outcome"
	// Expired says that a request ID is too old to tell whether the request was run.
	Expired Word = "expired"
	// Internal says that the fault lies in the daemon itself.
	Internal Word = "internal"
)

// Run says whether refused work was run by an upstream.
type Run string

// What can be known about refused work.
const (
	// Yes says that an upstream ran the work.
	Yes Run = "yes"
	// No says that no upstream has run the work or will run it.
	No Run = "no"
	// Unknown says that an upstream may have run the work.
	Unknown Run = "unknown"
)

// Refusal is the error for work that was not answered.
type Refusal struct {
	Reason Word
	Run    Run
	Detail string
}

// New returns a Refusal for a reason. The detail is for people and may be empty.
func New(word Word, run Run, detail string) *Refusal {
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
