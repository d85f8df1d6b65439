// Package gateway serves callers' requests from registered upstreams. It carries out what
// core/gather decides: it keeps the connections to upstreams, sends requests on them, watches the
// time, and hands the caller the answer.
package gateway
