// Package world runs entry daemons as processes of their own, among stand-ins and loopback proxies,
// while callers ask and a plan of faults is carried out. It ends only processes that it started.
package world
