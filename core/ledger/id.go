package ledger

import (
	"fmt"
	"strconv"
	"strings"

	"jacinthferry/core/clock"
	"jacinthferry/core/reason"

	"github.com/cespare/xxhash/v2"
)

// Limits of ids, their issue times and their pages.
const (
	maxIDBytes = 128
	// Window is how long an id is accepted after its issue. Its page is kept for longer.
	Window = 10 * clock.Minute
	// Skew is the largest tolerated difference between the clocks of callers and daemons.
	Skew = clock.Minute
	// pagePeriod is the range of issue times that share the same pages.
	pagePeriod = clock.Minute
	// Pages is the number of pages for each period of issue times. Ids are spread over them by hash.
	Pages = 16
)

// NewID returns an id with the given issue time. Random must make it unique.
func NewID(at clock.Milli, random string) string {
	return strconv.FormatInt(int64(at), 36) + "-" + random
}

// Issued returns the issue time of the id. The refusal of a malformed id describes the format.
func Issued(id string) (clock.Milli, *reason.Refusal) {
	issued, random, ok := strings.Cut(id, "-")
	at, err := strconv.ParseInt(issued, 36, 64)
	if !ok || err != nil || random == "" || len(id) > maxIDBytes {
		return 0, reason.New(reason.Invalid, reason.No,
			"id: want the issue time in milliseconds in base 36, \"-\" and a random suffix, at most 128 bytes")
	}

	return clock.Milli(at), nil
}

// Accept checks that the id is well-formed and recent enough for its page to be still kept.
func Accept(id string, now clock.Milli) *reason.Refusal {
	at, refusal := Issued(id)
	if refusal != nil {
		return refusal
	}
	if at > now+Skew {
		return reason.New(reason.Invalid, reason.No, "id: issue time is in the future; check the caller's clock")
	}
	if at < now-Window {
		return reason.New(reason.Expired, reason.Unknown, "id: issued too long ago to know whether the request ran")
	}

	return nil
}

// keyPrefix is the prefix of all page keys in the platform's store.
const keyPrefix = "ledger/"

// Key returns the store key of the page that holds the id. The id must be well-formed.
func Key(id string) string {
	at, _ := Issued(id)

	return fmt.Sprintf("%s%d/%02d", keyPrefix, int64(at/pagePeriod), xxhash.Sum64String(id)%Pages)
}

// Keep returns how long from now the store must keep the page with the given key: until every id in
// it has expired by any of the clocks.
func Keep(key string, now clock.Milli) clock.Milli {
	text, _, _ := strings.Cut(strings.TrimPrefix(key, keyPrefix), "/")
	n, _ := strconv.ParseInt(text, 10, 64)

	return clock.Milli(n+1)*pagePeriod + Window + 2*Skew - now
}
