package platform

import (
	"jacinthferry/core/reason"
	"jacinthferry/platform"
)

// Limits bound the calls and the history of a Store.
type Limits struct {
	// ReadRate is the rate of reads a second, and also their burst after a second without calls. A waiting watch
	// counts as one read.
	ReadRate int
	// WriteRate is the rate of writes a second, and also their burst.
	WriteRate int
	// KeptRevisions is the number of past revisions from which a watch may start.
	KeptRevisions int64
	// Seed makes the random choice of faults repeatable.
	Seed uint64
}

// DefaultLimits returns the limits of the platform that the system runs on.
func DefaultLimits() Limits { return Limits{ReadRate: 2000, WriteRate: 500, KeptRevisions: 10000} }

// allow applies the rate limit of a kind of call. It returns and counts a refusal above the limit.
func (s *Store) allow(kind string) error {
	limiter := s.reads
	switch kind {
	case platform.CallWrite, platform.CallGrant, platform.CallRevoke:
		limiter = s.writes
	}
	if limiter.Allow() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.currentSecond().Refused++

	return reason.NewRefusal(reason.Overload, reason.NotExecuted, "call rate of the store exceeded")
}
