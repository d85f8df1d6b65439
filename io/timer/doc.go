// Package timer reads the system clock and calls functions periodically.
package timer
