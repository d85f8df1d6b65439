// Package journal records a daemon's events as counters, as rate-limited JSON log lines, and in a
// ring buffer that operators can read.
package journal
