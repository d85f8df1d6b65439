// Package budget limits extra work: token buckets for hedges and retries, for each service and each
// caller, a sliding window for repeated sends, and a fair share of a service's capacity for each caller
// while the service is overloaded.
package budget
