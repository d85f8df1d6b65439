// Package rpc has the parts that all connect handlers and clients share: a JSON codec for plain
// structs, the encoding of refusals in error metadata, and HTTP servers and clients with limits
// and timeouts.
package rpc
