package budget

import "jacinthferry/core/clock"

// Terms say how a budget fills.
type Terms struct {
	// Ratio is how many extra legs each ordinary leg pays for.
	Ratio float64
	// Burst is how many extra legs can be saved up.
	Burst float64
	// Floor is how many extra legs a second are allowed whatever the traffic.
	Floor float64
}

// Bucket is a budget of extra legs. It starts empty but for what its floor allows in a second.
type Bucket struct {
	terms  Terms
	tokens float64
	at     clock.Milli
}

// New returns a budget as of an instant.
func New(now clock.Milli, terms Terms) *Bucket {
	return &Bucket{terms: terms, tokens: min(terms.Floor, terms.Burst), at: now}
}

// Earn adds what a number of ordinary legs pay for.
func (b *Bucket) Earn(legs int) {
	b.tokens = min(b.tokens+b.terms.Ratio*float64(legs), b.terms.Burst)
}

// Limit changes how many extra legs can be saved up. What is saved up beyond it is lost.
func (b *Bucket) Limit(burst float64) {
	b.terms.Burst = burst
	b.tokens = min(b.tokens, burst)
}

// Has reports whether the budget allows one extra leg.
func (b *Bucket) Has(now clock.Milli) bool {
	if b.terms.Floor > 0 && now > b.at {
		b.tokens = min(b.tokens+b.terms.Floor*float64((now-b.at)/clock.Second), max(b.terms.Burst, b.tokens))
	}
	b.at = max(b.at, now)

	return b.tokens >= 1
}

// Fill returns which part of the burst is saved up.
func (b *Bucket) Fill() float64 {
	if b.terms.Burst <= 0 {
		return 0
	}

	return min(1, b.tokens/b.terms.Burst)
}

// Take takes one extra leg from the budget and reports whether it was there.
func (b *Bucket) Take(now clock.Milli) bool {
	if !b.Has(now) {
		return false
	}
	b.tokens--

	return true
}
