package budget

import (
	"slices"

	"jacinthferry/core/clock"
)

// Parameters of fair admission.
const (
	// period is the time over which demand and throughput are measured.
	period = 250 * clock.Millisecond
	// overloadRatio is the fraction of queries lost to overload above which a service counts as overloaded.
	overloadRatio = 0.05
	// drainFactor is the part of the throughput that is admitted while queries are lost to overload, so
	// that queues drain. While none are lost, the capacity grows by fastGrowth until it is within
	// nearThreshold of the throughput at which queries were last lost, and by slowGrowth from there on.
	drainFactor   = 0.95
	fastGrowth    = 1.25
	slowGrowth    = 1.02
	nearThreshold = 0.95
	// cutFloor is the smallest fraction that the capacity is cut to at once, because the throughput falls
	// much lower for a moment while long queues drain.
	cutFloor = 0.75
	// minCapacity is the smallest number of queries admitted in a period.
	minCapacity = 4
	// paceLead is the fraction of a period's limit that may be used ahead of time.
	paceLead = 0.04
	// callerLimit is the number of callers with an account of their own; the rest share one.
	callerLimit = 256
)

// account counts the queries that one caller asked for and got admitted in the current period.
type account struct {
	demand   float64
	admitted float64
}

// FairLimiter admits queries to one service. While the service loses queries to overload, it admits no more
// than the service was seen to finish, and divides that by max-min fairness: a caller that asks for less
// than the equal share gets all of it, and the others share the rest equally. It is not safe for
// concurrent use.
type FairLimiter struct {
	// start is the beginning of the current period.
	start clock.Milli
	// capacity is the number of queries admitted in a period, and limit the number for each caller, or
	// below 0 for any number.
	capacity float64
	limit    float64
	accounts map[string]*account
	// threshold is the last throughput at which no queries were lost to overload before some were, or 0
	// if that is not known. throughput is that of the last period without loss.
	threshold  float64
	throughput float64
	// cut is set if the capacity was cut at the end of the last period.
	cut bool
	// answered and shed count the queries of the current period that were answered and lost to overload.
	answered float64
	shed     float64
}

// NewFairLimiter returns a limiter that admits everything at first.
func NewFairLimiter() *FairLimiter {
	return &FairLimiter{limit: -1, accounts: make(map[string]*account)}
}

// Admit reports whether a query of the caller may start.
func (f *FairLimiter) Admit(now clock.Milli, caller string) bool {
	f.advance(now)
	a := f.accounts[caller]
	if a == nil && len(f.accounts) >= callerLimit {
		caller = ""
		a = f.accounts[caller]
	}
	if a == nil {
		a = &account{}
		f.accounts[caller] = a
	}
	a.demand++
	if f.limit >= 0 && a.admitted >= f.pacedLimit(now) {
		return false
	}
	a.admitted++

	return true
}

// Done records how an admitted query ended: answered, lost to overload, or neither.
func (f *FairLimiter) Done(now clock.Milli, answered, overload bool) {
	f.advance(now)
	switch {
	case answered:
		f.answered++
	case overload:
		f.shed++
	}
}

// pacedLimit returns the part of the limit that may be used by now, so that it is not spent at the start
// of the period.
func (f *FairLimiter) pacedLimit(now clock.Milli) float64 {
	return max(1, f.limit*min(1, float64((now-f.start)/period)+paceLead))
}

// advance sets the capacity and the limit for the next period when the current one is over.
func (f *FairLimiter) advance(now clock.Milli) {
	if now-f.start < period {
		return
	}
	stale := now-f.start >= 2*period
	overloaded := f.shed > overloadRatio*(f.answered+f.shed)
	switch {
	case stale || (!overloaded && !f.refused()):
		f.limit, f.threshold, f.throughput = -1, 0, 0
	case overloaded && f.cut:
		// These queries were admitted before the cut, which has to take effect first.
		f.limit = f.fairLimit()
		overloaded = false
	case overloaded:
		if f.limit < 0 {
			f.capacity = 0
		} else {
			f.threshold = f.throughput
		}
		f.capacity = max(minCapacity, f.answered*drainFactor, f.capacity*cutFloor)
		f.limit = f.fairLimit()
	default:
		f.throughput = f.answered
		f.capacity = max(minCapacity, f.answered*f.growth())
		f.limit = f.fairLimit()
	}
	f.cut = overloaded
	f.start, f.answered, f.shed = now, 0, 0
	clear(f.accounts)
}

// growth returns the factor from the throughput of the last period to the next capacity.
func (f *FairLimiter) growth() float64 {
	if f.threshold == 0 || f.answered*fastGrowth < nearThreshold*f.threshold {
		return fastGrowth
	}

	return slowGrowth
}

// refused reports whether a query was refused in the current period.
func (f *FairLimiter) refused() bool {
	for _, a := range f.accounts {
		if a.admitted < a.demand {
			return true
		}
	}

	return false
}

// fairLimit returns the limit at which the callers' demands, each capped at the limit, sum to the capacity.
func (f *FairLimiter) fairLimit() float64 {
	demands := make([]float64, 0, len(f.accounts))
	for _, a := range f.accounts {
		demands = append(demands, a.demand)
	}
	slices.Sort(demands)
	left := f.capacity
	for i, d := range demands {
		equal := left / float64(len(demands)-i)
		if d > equal {
			return equal
		}
		left -= d
	}

	return f.capacity
}
