package budget

import "jacinthferry/core/clock"

// BucketConfig configures a token bucket. One token allows one extra leg: a hedge or a retry.
type BucketConfig struct {
	// Ratio is the number of tokens added for each initial leg.
	Ratio float64
	// Burst is the capacity of the bucket in tokens.
	Burst float64
	// Floor is the number of tokens added per second, whatever the traffic.
	Floor float64
}

// Bucket is a token bucket that limits extra legs. It starts with the tokens that its floor adds in one
// second. It is not safe for concurrent use.
type Bucket struct {
	config BucketConfig
	tokens float64
	// refilled is when the tokens of the floor were last added.
	refilled clock.Milli
}

// NewBucket returns a bucket whose floor counts from now.
func NewBucket(now clock.Milli, config BucketConfig) *Bucket {
	return &Bucket{config: config, tokens: min(config.Floor, config.Burst), refilled: now}
}

// Deposit adds the tokens for a number of initial legs.
func (b *Bucket) Deposit(legs int) {
	b.tokens = min(b.tokens+b.config.Ratio*float64(legs), b.config.Burst)
}

// SetBurst changes the capacity of the bucket. Tokens beyond it are lost.
func (b *Bucket) SetBurst(burst float64) {
	b.config.Burst = burst
	b.tokens = min(b.tokens, burst)
}

// Available adds the tokens of the floor up to now and reports whether there is a token.
func (b *Bucket) Available(now clock.Milli) bool {
	if b.config.Floor > 0 && now > b.refilled {
		b.tokens = min(b.tokens+b.config.Floor*float64((now-b.refilled)/clock.Second), max(b.config.Burst, b.tokens))
	}
	b.refilled = max(b.refilled, now)

	return b.tokens >= 1
}

// FillRatio returns the tokens as a fraction of the capacity, from 0 to 1, without adding those of the floor.
func (b *Bucket) FillRatio() float64 {
	if b.config.Burst <= 0 {
		return 0
	}

	return min(1, b.tokens/b.config.Burst)
}

// Take removes a token and reports whether there was one.
func (b *Bucket) Take(now clock.Milli) bool {
	if !b.Available(now) {
		return false
	}
	b.tokens--

	return true
}
