// Package place chooses, for each upstream, the daemon that schedules it: its home. Every daemon
// that sees the same members computes the same homes, and a member that leaves moves only the
// upstreams whose home it was.
package place
