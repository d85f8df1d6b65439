package store

import (
	"context"

	"jacinthferry/core/clock"
)

// What a write expects of the key, beside a revision.
const (
	// Any makes a write unconditional.
	Any int64 = -1
	// Absent expects that there is no such key.
	Absent int64 = 0
)

// Entry is one key as the store holds it.
type Entry struct {
	Key   string
	Value string
	// Revision is the store revision of the last write to the key.
	Revision int64
	// Deleted is set in a watch's answer for a key that is gone.
	Deleted bool
}

// Write is the outcome of a conditional write.
type Write struct {
	// Done is set when the condition held and the write took effect.
	Done bool
	// Revision is the store revision after the write.
	Revision int64
	// Current is what the key holds when Done is not set; its Revision is 0 when there is none.
	Current Entry
}

// Lease keeps keys for a limited time.
type Lease struct {
	ID   string
	Live bool
	Span clock.Milli
}

// Instance is a line in the platform's list of instances.
type Instance struct {
	Name    string
	Leaving bool
}

// Store is the platform's service. Its functions return a *reason.Refusal as error; one whose Run
// is not No may have taken effect.
type Store struct {
	Get  func(ctx context.Context, key string) (Entry, error)
	List func(ctx context.Context, prefix string) ([]Entry, int64, error)
	// Stale is List from a copy that may be some seconds old, at a tenth of its price.
	Stale     func(ctx context.Context, prefix string) ([]Entry, int64, error)
	Put       func(ctx context.Context, key, value string, expect int64, lease string) (Write, error)
	Delete    func(ctx context.Context, key string, expect int64) (Write, error)
	Grant     func(ctx context.Context, span clock.Milli) (Lease, error)
	Renew     func(ctx context.Context, lease string) (Lease, error)
	Revoke    func(ctx context.Context, lease string) error
	Watch     func(ctx context.Context, prefix string, after int64, wait clock.Milli) ([]Entry, int64, error)
	Instances func(ctx context.Context) ([]Instance, error)
}
