// Package registered stands in for an upstream on the platform: a process that registers itself in the
// store, runs requests in slots behind a short queue, and does wrong on command. It tells what it ran.
package registered
