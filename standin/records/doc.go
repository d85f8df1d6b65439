// Package records provides the record set that the demo and the upstream stand-in search.
package records
