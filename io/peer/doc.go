// Package peer implements the protocol between daemons: CBOR messages over a WebSocket. Each message holds
// any number of legs, results and other entries.
package peer
