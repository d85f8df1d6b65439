// Package catalog holds what requests are matched against: the routes and services of one
// configuration version, the upstreams registered for them, and the availability zones that are
// taken out. Values are immutable once they are built.
package catalog
