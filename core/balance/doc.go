// Package balance chooses the upstream for a request from what this daemon itself sees of each one:
// its own requests in flight and how old they are, the latency and failures of past ones, and the
// load that upstreams report with their answers.
package balance
