// Package store defines the interface of the key-value store that daemons share: compare-and-swap, leases,
// watches and a list of instances. Package platform has the client, and the stand-ins have an in-memory
// implementation.
package store
