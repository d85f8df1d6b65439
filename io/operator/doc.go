// Package operator implements the protocol between operators and daemons: the handlers that a
// daemon serves on its operator address, and the client.
package operator
