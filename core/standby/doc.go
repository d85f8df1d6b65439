// Package standby decides for a daemon that takes no requests what it has to know and when it joins those that do. It
// learns of the registered daemons from an active one, reads the store only when it hears nothing, and joins after a
// random delay, so that the load on the store does not grow with the number of daemons on standby.
package standby
