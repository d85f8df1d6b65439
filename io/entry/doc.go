// Package entry puts an entry daemon together: it serves the routes that the operators keep in the
// platform's store, from the upstreams that registered themselves there.
package entry
