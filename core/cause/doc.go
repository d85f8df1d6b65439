// Package cause explains from the events of all daemons why one request was refused, late or answered
// in part.
package cause
