// Package gather decides the course of one request: which upstream of which service it is sent to,
// when another one is asked as well, and when the caller gets its answer. A request that gathers is
// sent to every shard of its route; any other is one with a single shard. It is a pure state
// machine: the same view, random numbers and events give the same actions.
package gather
