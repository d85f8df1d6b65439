package event

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/reason"
)

// Kind is the kind of an event, a single lower-case word.
type Kind string

// The kinds of Event.
const (
	// Refusal is a request or leg that got no answer.
	Refusal Kind = "refusal"
	// Answer is a request that was answered completely.
	Answer Kind = "answer"
	// Retry is a leg sent again to another replica after a failure.
	Retry Kind = "retry"
	// Hedge is a second leg sent while the first one runs.
	Hedge Kind = "hedge"
	// Denied is a retry or hedge that a budget did not allow.
	Denied Kind = "denied"
	// Partial is an answer that does not cover all shards.
	Partial Kind = "partial"
	// Restart is a query that starts again on another snapshot.
	Restart Kind = "restart"
	// Cold is an upstream that now counts as cold, and Warm one that now counts as warm.
	Cold Kind = "cold"
	Warm Kind = "warm"
	// Connection is a connection that broke, was closed or was refused.
	Connection Kind = "connection"
	// Upstream is an upstream that appeared, left or is draining.
	Upstream Kind = "upstream"
	// Member is a daemon that joined, left or is suspected to be down.
	Member Kind = "member"
	// Home is an upstream whose home changed.
	Home Kind = "home"
	// Revision is a configuration that took effect.
	Revision Kind = "revision"
	// Zone is an availability zone that was taken out of service or brought back.
	Zone Kind = "zone"
	// Store is the platform's store becoming unreachable or reachable.
	Store Kind = "store"
	// Move is a step of a move to another version, and Trip a step back because of that
	// version's own results.
	Move Kind = "move"
	Trip Kind = "trip"
	// Quarantine is a request to which crashes of upstreams are attributed.
	Quarantine Kind = "quarantine"
	// Key is a certificate, private key or shared key that was reloaded.
	Key Kind = "key"
	// Process is a start, stop or reload of a daemon, or a lost or regained link, as read from its log.
	Process Kind = "process"
	// Ledger is a decision about a non-idempotent request.
	Ledger Kind = "ledger"
)

// Event is a decision or a change. Fields that do not apply are empty.
type Event struct {
	At       clock.Milli
	Kind     Kind
	Reason   reason.Code
	Service  string
	Version  string
	Zone     string
	Upstream string
	Daemon   string
	Request  string
	// Print is the fingerprint of the request, in hexadecimal; it is the same each time the request is sent.
	Print    string
	Revision uint64
	Detail   string
}
