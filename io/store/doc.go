// Package store describes the key-value service that daemons share: compare-and-swap, leases and
// watches, and a list of instances. Package platform has the client, and the stand-ins an
// implementation in memory.
package store
