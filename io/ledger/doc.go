// Package ledger runs the page state machines of core/ledger in one goroutine and executes their
// actions: it reads and writes pages in the platform's store and sends requests to upstreams.
package ledger
