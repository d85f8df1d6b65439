// Package client sends requests from a caller to the daemons. It fetches the addresses to use from the
// daemons, caches them for the TTL that they give, refreshes them in the background before they
// expire, and spreads requests over the daemons of the nearest availability zone.
//
// When a daemon cannot be reached, is leaving or does not answer, the request is sent to another one,
// within its deadline and the retry budget. A query is idempotent and may be resent at any time. A
// submit is resent only under the id that it was first sent with: the daemons run an id at most once,
// whichever daemon receives it.
package client
