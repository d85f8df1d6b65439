package platform

import (
	"jacinthferry/core/reason"
	"jacinthferry/platform"
)

// Limits bound the calls and the history of a Store.
type Limits struct {
	// Reads is the rate of reads a second, and also their burst after a second without calls. A waiting watch
	// counts as one read.
	Reads int
	// Writes is the rate of writes a second, and also their burst.
	Writes int
	// Kept is the number of past revisions from which a watch may start.
	Kept int64
	// Seed makes the random choice of faults repeatable.
	Seed uint64
}

// Usual returns the limits of the platform that the system runs on.
func Usual() Limits { return Limits{Reads: 2000, Writes: 500, Kept: 10000} }

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

	return reason.New(reason.Overload, reason.No, "call rate of the store exceeded")
}
