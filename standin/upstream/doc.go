// Package upstream provides a stand-in for an upstream: it searches shards of the shipped record set,
// injects faults, and counts what the daemons must never do to it.
package upstream
