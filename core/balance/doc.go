// Package balance chooses the upstream for a request by what this daemon itself observes of each one:
// the number and age of its own requests in flight, the latency and failures of past ones, and the
// load that upstreams report with their answers.
package balance
