package reason

// Word is one reason, a single lower-case word.
type Word string

// The reasons that reach callers, operators, logs and counters.
const (
	// Service says that no such service is configured.
	Service Word = "service"
	// Route says that no route matches the request.
	Route Word = "route"
	// Invalid says that a request is malformed.
	Invalid Word = "invalid"
	// Deadline says that the time allowed ran out or cannot be met.
	Deadline Word = "deadline"
	// Overload says that a queue or limit is full.
	Overload Word = "overload"
	// Cold says that the upstream is starting and bears no more work for now.
	Cold Word = "cold"
	// Replica says that no live upstream holds the shard.
	Replica Word = "replica"
	// Snapshot says that the pinned snapshot is gone.
	Snapshot Word = "snapshot"
	// Connection says that a connection to an upstream broke or could not be opened.
	Connection Word = "connection"
	// Silent says that an open connection stopped carrying bytes.
	Silent Word = "silent"
	// Peer says that the link to another daemon broke.
	Peer Word = "peer"
	// Home says that the daemon asked is not the upstream's home.
	Home Word = "home"
	// Mismatch says that an answer belonged to another request, shard or snapshot.
	Mismatch Word = "mismatch"
	// Failed says that the upstream answered with an error.
	Failed Word = "failed"
	// Draining says that the upstream or daemon is leaving.
	Draining Word = "draining"
	// Cancelled says that the caller left.
	Cancelled Word = "cancelled"
	// Coverage says that shards are missing and the caller accepts whole answers only.
	Coverage Word = "coverage"
	// Configuration says that the daemon has no configuration yet.
	Configuration Word = "configuration"
	// Store says that the platform's store is needed and cannot be reached.
	Store Word = "store"
	// Compacted says that the store no longer keeps the revision that a watch asked after.
	Compacted Word = "compacted"
	// Conflict says that another operator's change came first.
	Conflict Word = "conflict"
	// Stranger says that a peer or operator did not prove who it is.
	Stranger Word = "stranger"
	// Size says that a body, header or frame is over its limit.
	Size Word = "size"
	// Zone says that the availability zone is taken out.
	Zone Word = "zone"
	// Quarantine says that the request is tied to upstream crashes.
	Quarantine Word = "quarantine"
	// Budget says that the retry or hedge budget is spent.
	Budget Word = "budget"
	// Slow says that an answer takes longer than usual.
	Slow Word = "slow"
	// Reused says that a request id came back with another body.
	Reused Word = "reused"
	// Incarnation says that an upstream's process was replaced by another.
	Incarnation Word = "incarnation"
	// Stale says that nothing was heard of an upstream for too long.
	Stale Word = "stale"
	// Latency says that an upstream's answers became much slower than usual.
	Latency Word = "latency"
	// Report says that an upstream's own report calls for it.
	Report Word = "report"
	// Held says that a home may use all that its upstream bears, and Lapsed that it no longer may.
	Held   Word = "held"
	Lapsed Word = "lapsed"
	// Outcome says that a non-idempotent request was sent and its outcome is not known.
	Outcome Word = "outcome"
	// Expired says that an id is too old to tell whether it was run.
	Expired Word = "expired"
	// Internal says that the daemon itself is at fault.
	Internal Word = "internal"
)

// Run says whether refused work was run.
type Run string

// The three things that can be known about refused work.
const (
	// Yes says that an upstream ran the work.
	Yes Run = "yes"
	// No says that no upstream has run the work or will run it.
	No Run = "no"
	// Unknown says that an upstream may have run the work.
	Unknown Run = "unknown"
)

// Refusal is the error of work that got no answer.
type Refusal struct {
	Reason Word
	Run    Run
	Detail string
}

// New returns a Refusal.
func New(word Word, run Run, detail string) *Refusal {
	return &Refusal{Reason: word, Run: run, Detail: detail}
}

// Error returns the reason, the detail, and whether the work was run.
func (r *Refusal) Error() string {
	text := string(r.Reason)
	if r.Detail != "" {
		text += ": " + r.Detail
	}

	return text + " (run: " + string(r.Run) + ")"
}
