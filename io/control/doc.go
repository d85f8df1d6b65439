// Package control runs the single control thread of a daemon. It owns the configuration, the members
// and the knowledge of what upstreams hold, and publishes a routing table when one of them changes.
package control
