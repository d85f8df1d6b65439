// Package daemon assembles a daemon from its listeners, its control thread, its lanes and its
// connections to the platform, to upstreams and to other daemons.
package daemon
