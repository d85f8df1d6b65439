package balance

import (
	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
)

// RateLimit is how many requests a second an upstream takes from all daemons together.
type RateLimit float64

// HandleLimit records that the answer to a request sent at an instant named a rate limit, or none if limit is nil. The
// limit holds until the answer to a later request names another one or none.
func (b *Balancer) HandleLimit(now, sent clock.Milli, u *catalog.Upstream, limit *RateLimit) {
	s := b.state(now, u)
	if sent < s.limitSent || (limit == nil && !s.limited) {
		return
	}
	changed := s.limited != (limit != nil) || (limit != nil && *limit != s.limit)
	s.limitSent, s.limited, s.limit = sent, limit != nil, 0
	if limit != nil {
		s.limit = *limit
	}
	if changed && b.rules.OnLimit != nil {
		b.rules.OnLimit(u, limit)
	}
}
