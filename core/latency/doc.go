// Package latency estimates quantiles of the recent latencies of a service or route in a fixed amount of
// memory.
package latency
