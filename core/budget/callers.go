package budget

import "jacinthferry/core/clock"

// CallerBuckets holds a Bucket for each recently seen caller, for a bounded number of callers. It keeps two
// generations and drops the previous one when the current one is full. A caller that was dropped gets a
// new Bucket. It is not safe for concurrent use.
type CallerBuckets struct {
	config BucketConfig
	// limit is the number of callers in a generation.
	limit    int
	current  map[string]*Bucket
	previous map[string]*Bucket
}

// NewCallerBuckets returns an empty set for about limit callers.
func NewCallerBuckets(config BucketConfig, limit int) *CallerBuckets {
	return &CallerBuckets{config: config, limit: max(1, limit/2), current: make(map[string]*Bucket)}
}

// Bucket returns the bucket of a caller and creates it if there is none.
func (c *CallerBuckets) Bucket(now clock.Milli, caller string) *Bucket {
	if b := c.current[caller]; b != nil {
		return b
	}
	b := c.previous[caller]
	if b == nil {
		b = NewBucket(now, c.config)
	}
	if len(c.current) >= c.limit {
		c.previous, c.current = c.current, make(map[string]*Bucket)
	}
	c.current[caller] = b

	return b
}
