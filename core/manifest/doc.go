// Package manifest divides the operators' configuration into small values. A head lists the parts of one
// revision and is the only value that is ever overwritten; each part is written once under a unique name.
// The store has both, and daemons send each other only the parts that changed.
package manifest
