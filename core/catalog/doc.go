// Package catalog holds what requests are routed by: the routes and services of one configuration
// version, the upstreams registered for them, the availability zones that are evacuated, and the
// rollouts of new versions. Values are immutable once they are built.
package catalog
