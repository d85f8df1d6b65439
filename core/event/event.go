package event

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/reason"
)

// Kind is the sort of decision, a single lower-case word.
type Kind string

// The kinds of Event.
const (
	// Refusal is a request or leg that got no answer.
	Refusal Kind = "refusal"
	// Answer is a request that was answered whole.
	Answer Kind = "answer"
	// Retry is a leg sent again to another replica after a failure.
	Retry Kind = "retry"
	// Hedge is a second leg sent while the first one runs.
	Hedge Kind = "hedge"
	// Denied is a retry or hedge that a budget did not allow.
	Denied Kind = "denied"
	// Partial is an answer that does not cover every shard.
	Partial Kind = "partial"
	// Restart is a query begun again on another snapshot.
	Restart Kind = "restart"
	// Cold is an upstream taken to be cold, and Warm one taken to be warm.
	Cold Kind = "cold"
	Warm Kind = "warm"
	// Connection is a connection retired or refused.
	Connection Kind = "connection"
	// Upstream is an upstream that appeared, left or drains.
	Upstream Kind = "upstream"
	// Member is a daemon that joined, left or is suspected.
	Member Kind = "member"
	// Home is an upstream that got another home.
	Home Kind = "home"
	// Revision is a configuration that came into force.
	Revision Kind = "revision"
	// Zone is an availability zone that was taken out or brought back.
	Zone Kind = "zone"
	// Store is the platform's store becoming unreachable or reachable.
	Store Kind = "store"
	// Move is a step of a version move, and Trip a version cut off on its own evidence.
	Move Kind = "move"
	Trip Kind = "trip"
	// Quarantine is a request tied to upstream crashes.
	Quarantine Kind = "quarantine"
	// Key is a certificate, key or shared key that was read again.
	Key Kind = "key"
	// Process is a start, stop or reload of a daemon, or a lost or regained link, as its log tells.
	Process Kind = "process"
	// Ledger is a decision about a non-idempotent request.
	Ledger Kind = "ledger"
)

// Event is one decision. Fields that do not apply are empty.
type Event struct {
	At       clock.Milli
	Kind     Kind
	Reason   reason.Word
	Service  string
	Version  string
	Zone     string
	Upstream string
	Daemon   string
	Request  string
	Revision uint64
	Detail   string
}
