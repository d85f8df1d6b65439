// Package load generates an open-loop load: it sends requests to a deployment at a rate that does not
// depend on the responses, and checks and measures them. All arrival times are fixed in advance and
// latencies are measured from them, so that a stall shows in every request that it delayed.
package load
