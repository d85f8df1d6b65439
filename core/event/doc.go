// Package event describes the decisions and changes that a caller or an operator can notice. Each one is
// counted in a metric, logged, and kept in the daemon's journal.
package event
