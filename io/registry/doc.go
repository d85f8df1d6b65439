// Package registry watches the platform's store from the daemon's control thread for the operators'
// configuration, the registered upstreams, the availability zones that are out of service, and the other
// daemons. It publishes an immutable view whenever one of them changes, and keeps this daemon's own
// entry registered under a lease.
package registry
