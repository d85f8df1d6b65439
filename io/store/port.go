package store

import (
	"context"

	"jacinthferry/core/clock"
)

// Values other than a key's revision that a conditional write can expect.
const (
	// Any makes a write unconditional.
	Any int64 = -1
	// Absent makes a write conditional on the key not existing.
	Absent int64 = 0
)

// Entry is a key-value pair in the store.
type Entry struct {
	Key   string
	Value string
	// Revision is the store revision of the last write to the key; see NewRevision.
	Revision int64
	// Created is the store revision of the write that created the key, or 0 if it is not known.
	Created int64
	// Deleted is set in the result of a watch for a key that was deleted.
	Deleted bool
}

// WriteResult is the outcome of a conditional write.
type WriteResult struct {
	// Applied is set if the condition held and the write took effect.
	Applied bool
	// Revision is the store revision after the write.
	Revision int64
	// Current is the key's entry if Applied is not set; its Revision is 0 if the key does not exist.
	Current Entry
}

// Lease bounds the lifetime of the keys attached to it. Live is false once it has ended.
type Lease struct {
	ID   string
	Live bool
	TTL  clock.Milli
}

// Instance is an item in the platform's list of instances.
type Instance struct {
	Name    string
	Leaving bool
}

// Store is the set of calls to the platform's key-value store. Their errors are of type *reason.Refusal; a call
// whose error has a Run other than No may have taken effect.
type Store struct {
	Get  func(ctx context.Context, key string) (Entry, error)
	List func(ctx context.Context, prefix string) ([]Entry, int64, error)
	// ListStale is List from a replica that may lag by a few seconds, at a tenth of the cost.
	ListStale func(ctx context.Context, prefix string) ([]Entry, int64, error)
	Put       func(ctx context.Context, key, value string, expect int64, lease string) (WriteResult, error)
	Delete    func(ctx context.Context, key string, expect int64) (WriteResult, error)
	Grant     func(ctx context.Context, span clock.Milli) (Lease, error)
	Renew     func(ctx context.Context, lease string) (Lease, error)
	Revoke    func(ctx context.Context, lease string) error
	Watch     func(ctx context.Context, prefix string, after int64, wait clock.Milli) ([]Entry, int64, error)
	Instances func(ctx context.Context) ([]Instance, error)
	// Generation returns how often the store is known to have been restored from a backup. It may be nil.
	Generation func() int64
}
