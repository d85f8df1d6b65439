// Package rollout moves the requests of a service to another version of its upstreams in steps. A
// small share of the requests tries the new version first; each daemon's Counter counts its answers and
// those of the version that ran before, and an Analyzer compares the sums. Next says which step follows.
// Every daemon that follows the same record may take it, by a conditional write, so that no daemon's
// loss ends a move.
package rollout
