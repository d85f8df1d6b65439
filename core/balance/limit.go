package balance

import (
	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
)

// RateLimit is how many requests a second an upstream takes from all daemons together.
type RateLimit float64

const (
	// minRate is the rate at which an upstream gets requests whose limit is lower, or 0: only the answer to a request
	// tells when the limit ends.
	minRate RateLimit = 0.25
	// limitBurstSpan is the time whose requests may be sent at once after a quieter time.
	limitBurstSpan = clock.Second
	// maxPause is the longest pause that an upstream may ask for.
	maxPause = clock.Hour
)

// HandleLimit records that the answer to a request sent at an instant named a rate limit, or none if limit is nil. The
// limit holds until the answer to a later request names another one or none.
func (b *Balancer) HandleLimit(now, sent clock.Milli, u *catalog.Upstream, limit *RateLimit) {
	s := b.state(now, u)
	if sent < s.limitSent || (limit == nil && !s.limited) {
		return
	}
	changed := s.limited != (limit != nil) || (limit != nil && *limit != s.limit)
	if limit != nil {
		b.refillLimit(now, s)
		s.limit = *limit
	}
	s.limitSent, s.limited = sent, limit != nil
	if changed && b.rules.OnLimit != nil {
		b.rules.OnLimit(u, limit)
	}
}

// Pause records that an upstream asked this daemon to send nothing until an instant.
func (b *Balancer) Pause(now, until clock.Milli, u *catalog.Upstream) {
	s := b.state(now, u)
	s.pausedUntil = max(s.pausedUntil, min(until, now+maxPause))
}

// PauseLeft returns how much longer an upstream asked this daemon to send nothing.
func (b *Balancer) PauseLeft(now clock.Milli, u *catalog.Upstream) clock.Milli {
	s := b.states[u.Key()]
	if s == nil {
		return 0
	}

	return max(0, s.pausedUntil-now)
}

// LimitWait returns how long it takes until the rate limit of an upstream, and a pause that it asked for, leave room
// for one more request of this daemon, or 0 if there is room.
func (b *Balancer) LimitWait(now clock.Milli, u *catalog.Upstream) clock.Milli {
	s := b.states[u.Key()]
	if s == nil {
		return 0
	}
	pause := b.PauseLeft(now, u)
	if !s.limited {
		return pause
	}
	b.refillLimit(now, s)

	return max(pause, clock.Milli((1-s.limitTokens)/b.limitShare(s))*clock.Second)
}

// Spare reports whether requests that can be done without may be sent to an upstream: its rate limit, if it has one,
// leaves room that others did not use for a while.
func (b *Balancer) Spare(now clock.Milli, u *catalog.Upstream) bool {
	s := b.states[u.Key()]
	if s == nil || !s.limited {
		return true
	}
	b.refillLimit(now, s)

	return s.limitTokens >= 1 && s.limitTokens >= b.limitBurst(s)
}

// limitShare returns this daemon's share of an upstream's rate limit, in requests a second.
func (b *Balancer) limitShare(s *state) float64 {
	return float64(max(minRate, s.limit)) / float64(b.daemons())
}

// limitBurst returns how many requests this daemon may send at once under an upstream's rate limit.
func (b *Balancer) limitBurst(s *state) float64 {
	return max(1, b.limitShare(s)*float64(limitBurstSpan/clock.Second))
}

// refillLimit brings the token bucket of an upstream's rate limit up to date. It is empty when the limit begins, as the
// requests sent before count too.
func (b *Balancer) refillLimit(now clock.Milli, s *state) {
	if !s.limited {
		s.limitTokens = 0
	} else {
		s.limitTokens += b.limitShare(s) * float64((now-s.limitRefilled)/clock.Second)
		s.limitTokens = min(b.limitBurst(s), s.limitTokens)
	}
	s.limitRefilled = now
}
