// Package relay implements the protocol by which daemons send legs for each other: CBOR messages over a
// WebSocket. A daemon hands over the legs of a query that go to upstreams of another availability zone,
// and gets back one merged response.
package relay
