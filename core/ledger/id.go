package ledger

import (
	"fmt"
	"strconv"
	"strings"

	"jacinthferry/core/clock"
	"jacinthferry/core/reason"

	"github.com/cespare/xxhash/v2"
)

// Limits of ids, in bytes and in time.
const (
	idLimit = 128
	// Window is how long after its issue an id is accepted. Its page is kept for longer.
	Window = 10 * clock.Minute
	// Skew is how far the clocks of callers and daemons may differ.
	Skew = clock.Minute
	// bucket is the span of issue times that share a page.
	bucket = clock.Minute
	// Pages is the number of pages of one bucket.
	Pages = 16
)

// NewID returns an id that is issued at an instant. Random tells it from all others.
func NewID(at clock.Milli, random string) string {
	return strconv.FormatInt(int64(at), 36) + "-" + random
}

// Issued returns the instant at which the id was issued. The refusal says what an id looks like.
func Issued(id string) (clock.Milli, *reason.Refusal) {
	stamp, random, ok := strings.Cut(id, "-")
	at, err := strconv.ParseInt(stamp, 36, 64)
	if !ok || err != nil || random == "" || len(id) > idLimit {
		return 0, reason.NewRefusal(reason.Invalid, reason.NotExecuted,
			"id: want the time of issue in milliseconds, base 36, then \"-\" and random letters, at most 128 bytes")
	}

	return clock.Milli(at), nil
}

// Accept checks that the id is fresh enough for its page to be kept still.
func Accept(id string, now clock.Milli) *reason.Refusal {
	at, refusal := Issued(id)
	if refusal != nil {
		return refusal
	}
	if at > now+Skew {
		return reason.NewRefusal(
			reason.Invalid, reason.NotExecuted, "id: was issued in the future; is the caller's clock right?",
		)
	}
	if at < now-Window {
		return reason.NewRefusal(
			reason.Expired, reason.ExecutionUnknown, "id: was issued too long ago to tell whether it ran",
		)
	}

	return nil
}

// prefix is where the pages are in the platform's store.
const prefix = "ledger/"

// Key returns the store key of the page that the id belongs to.
func Key(id string) string {
	at, _ := Issued(id)

	return fmt.Sprintf("%s%d/%02d", prefix, int64(at/bucket), xxhash.Sum64String(id)%Pages)
}

// Keep returns how long from now on the store must keep the page under key: until every id in it
// has expired, whichever of the clocks is right.
func Keep(key string, now clock.Milli) clock.Milli {
	text, _, _ := strings.Cut(strings.TrimPrefix(key, prefix), "/")
	n, _ := strconv.ParseInt(text, 10, 64)

	return clock.Milli(n+1)*bucket + Window + 2*Skew - now
}
