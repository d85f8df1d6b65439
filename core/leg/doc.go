// Package leg defines a leg, the sub-request to one shard on one upstream, and its result.
package leg
