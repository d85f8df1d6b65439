// Package cause explains why a request was refused, late or answered in part, from the events of all
// daemons.
package cause
