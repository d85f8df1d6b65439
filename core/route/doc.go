// Package route builds an immutable routing table from the configuration, the members and the
// snapshots that upstreams hold. Traffic threads plan queries from it.
package route
