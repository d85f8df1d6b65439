// Package rollout moves the requests of a service to another version of its upstreams in steps. Begin returns the first
// step for an operator's order. A version that did not run before gets a small share of the requests, as a canary: each
// daemon's Counter counts its answers and those of the old version, and an Analyzer compares the sums. Next returns the
// step that follows. Every daemon that follows the same record may take the step, by a conditional write, so that the
// loss of a daemon does not end a rollout.
package rollout
