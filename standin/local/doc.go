// Package local starts a small but complete deployment in this process on loopback: stand-ins for the platform
// and the upstreams, and real daemons.
package local
