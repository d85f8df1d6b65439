// Package upstream implements the protocol between daemons and upstreams: the client that a daemon
// uses, and a handler for upstreams that are written in Go.
package upstream
