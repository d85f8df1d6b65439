// Package quarantine decides which requests may run, which have to run on a single upstream first to
// show that they do not crash it, and which are refused because they crashed several upstreams.
package quarantine
