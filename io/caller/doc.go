// Package caller implements the protocol between callers and daemons: the handler that a daemon
// serves, and the client.
package caller
