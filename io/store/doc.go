// Package platform speaks with the platform: its key-value store with compare-and-swap, leases
// and watches, and its list of instances. It has the client that a daemon uses, and a handler for
// whoever serves a store in Go.
package platform
