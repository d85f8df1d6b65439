// Package socket reads and sets socket options of TCP connections that package net does not offer, and
// closes idle connections of servers.
package socket
