// Package testbed runs entry daemons as separate processes, together with stand-ins and loopback
// proxies, sends them requests and carries out a plan of faults. It ends only processes that it started.
package testbed
