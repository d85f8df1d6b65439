// Package pick chooses the replica for a leg by what this daemon itself observes of each upstream:
// its own legs in flight, their latency and their failures.
package pick
