package platform

import (
	"jacinthferry/core/reason"
	"jacinthferry/platform"
)

// Limits are what the store takes.
type Limits struct {
	// Reads and Writes are how many calls a second it answers, and as many at once after a quiet
	// second. A waiting watch is one read.
	Reads  int
	Writes int
	// Kept is how many revisions back a watch may start.
	Kept int64
	// Seed makes the faults repeatable.
	Seed uint64
}

// Usual returns the limits of the platform that the system runs on.
func Usual() Limits { return Limits{Reads: 2000, Writes: 500, Kept: 10000} }

// allow takes a call from the rates, or refuses it.
func (s *Store) allow(kind string) error {
	l := s.reads
	switch kind {
	case platform.CallWrite, platform.CallGrant, platform.CallRevoke:
		l = s.writes
	}
	if l.Allow() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.second().Refused++

	return reason.NewRefusal(reason.Overload, reason.NotExecuted, "over the store's rate")
}
