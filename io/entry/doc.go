// Package entry assembles an entry daemon, which serves the routes that operators configure in the
// platform's store from the upstreams that are registered there.
package entry
