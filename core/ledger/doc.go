// Package ledger ensures that a non-idempotent request runs at most once. Every request carries an id
// that its caller chooses. The id is written to a page in the platform's store, by compare-and-swap,
// before the request is sent to an upstream, and only the page state machine whose write added the
// id may run it. A resend through any daemon finds the id and gets the recorded outcome, or learns
// that the outcome is unknown; it never runs a second time.
//
// Safety depends on compare-and-swap alone: two daemons that both assume that they own a page do no
// harm. Ownership only concentrates the writes, so that many ids share one.
package ledger
