// Package admit implements admission control for one upstream: it decides which leg runs next. Only
// the home daemon sends legs to the upstream, so the slots, the queue, the adaptive concurrency limit
// and the cold limit are kept in one place.
//
// A leg counts against the limit from its dispatch until it is known that the upstream no longer runs
// it: the upstream answered it, its deadline and a margin have passed, or the process that it was sent
// to is known to be gone. A cancelled leg and one whose connection broke still count.
package admit
