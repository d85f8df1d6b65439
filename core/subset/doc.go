// Package subset chooses the few daemons that take requests where there are many. Each of them then
// keeps its connections to upstreams warm, and sends enough requests to every upstream to know its latency
// and load. All daemons that know the same members choose the same subset.
package subset
