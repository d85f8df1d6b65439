package client

import (
	"sync/atomic"

	"jacinthferry/core/clock"
)

// Policy limits what a client does for each request and for all requests together.
type Policy struct {
	// Deadline is the time allowed for a request that sets no deadline.
	Deadline clock.Milli
	// Grace is how long the client waits after the deadline for a daemon's refusal, so that the caller
	// learns whether the request was run.
	Grace clock.Milli
	// Attempts is the maximum number of daemons to which one request is sent.
	Attempts int
	// Patience is the maximum time between two checks of the daemon that a request was last sent to. If
	// the daemon has answered no request or probe of this client meanwhile, the first check sends a
	// probe and the second sends the request to another daemon too.
	Patience clock.Milli
	// Ratio is the number of retries that each request adds to the retry budget, and Burst the most
	// that the budget holds. Retries of requests that reached no daemon, or were refused by one that is
	// leaving, are not counted.
	Ratio float64
	Burst int
	// Avoid is the time between two probes of a daemon that failed to answer. Until it answers one, it
	// is the last choice.
	Avoid clock.Milli
}

// DefaultPolicy returns the policy that New uses.
func DefaultPolicy() Policy {
	return Policy{
		Deadline: clock.Second, Grace: 25 * clock.Millisecond, Attempts: 4, Patience: 100 * clock.Millisecond,
		Ratio: 0.1, Burst: 100, Avoid: clock.Second,
	}
}

// budget limits retries to a ratio of the requests.
type budget struct {
	// tokens counts thousandths of a retry.
	tokens     atomic.Int64
	perRequest int64
	capacity   int64
}

// retryCost is the cost of one retry in tokens.
const retryCost = 1000

func newBudget(ratio float64, burst int) *budget {
	b := &budget{perRequest: int64(ratio * retryCost), capacity: int64(burst) * retryCost}
	b.tokens.Store(b.capacity)

	return b
}

// deposit adds the tokens of one request.
func (b *budget) deposit() {
	if tokens := b.tokens.Load(); tokens < b.capacity {
		b.tokens.CompareAndSwap(tokens, min(b.capacity, tokens+b.perRequest))
	}
}

// spend takes the tokens of one retry and reports whether there were enough.
func (b *budget) spend() bool {
	if b.tokens.Add(-retryCost) >= 0 {
		return true
	}
	b.tokens.Add(retryCost)

	return false
}
