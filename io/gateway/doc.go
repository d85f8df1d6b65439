// Package gateway serves callers' requests from registered upstreams. It performs the actions that
// core/gather decides on: it pools connections to upstreams, sends requests on them, runs the
// timers, and returns the response to the caller.
package gateway
