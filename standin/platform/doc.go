// Package platform provides an in-memory stand-in for the platform's store, in one process, with rate limits
// and fault injection.
package platform
