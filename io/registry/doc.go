// Package registry follows the platform's store on the daemon's control thread: the operators'
// configuration, the registered upstreams, the availability zones that are taken out, and the other
// daemons. It publishes an immutable view whenever one of them changes, and keeps this daemon's own
// entry alive by a lease.
package registry
