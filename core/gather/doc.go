// Package gather coordinates one request: which upstream of which service gets it, when a retry or a
// hedge is sent, and when the caller gets its answer. A request on a gathering route goes to every
// shard of the route; any other request has a single shard. The package is a pure state machine: the
// same view, random numbers and events give the same actions.
package gather
