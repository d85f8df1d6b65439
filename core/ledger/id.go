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
	// IDLifetime is how long an id is accepted after its issue. Its page is kept for longer.
	IDLifetime = 10 * clock.Minute
	// MaxClockSkew is the largest tolerated difference between the clocks of callers and daemons.
	MaxClockSkew = clock.Minute
	// pagePeriod is the range of issue times that share the same pages.
	pagePeriod = clock.Minute
	// PagesPerPeriod is the number of pages for each period of issue times. Ids are spread over them by hash.
	PagesPerPeriod = 16
)

// NewID returns an id with the given issue time. Random must make it unique.
func NewID(at clock.Milli, random string) string {
	return strconv.FormatInt(int64(at), 36) + "-" + random
}

// IssueTime returns the issue time of the id. The refusal of a malformed id describes the format.
func IssueTime(id string) (clock.Milli, *reason.Refusal) {
	issued, random, ok := strings.Cut(id, "-")
	at, err := strconv.ParseInt(issued, 36, 64)
	if !ok || err != nil || random == "" || len(id) > maxIDBytes {
		return 0, reason.NewRefusal(reason.Invalid, reason.NotExecuted,
			"id: want the issue time in milliseconds in base 36, \"-\" and a random suffix, at most 128 bytes")
	}

	return clock.Milli(at), nil
}

// CheckID checks that the id is well-formed and recent enough for its page to be still kept.
func CheckID(id string, now clock.Milli) *reason.Refusal {
	at, refusal := IssueTime(id)
	if refusal != nil {
		return refusal
	}
	if at > now+MaxClockSkew {
		return reason.NewRefusal(
			reason.Invalid, reason.NotExecuted, "id: issue time is in the future; check the caller's clock",
		)
	}
	if at < now-IDLifetime {
		return reason.NewRefusal(
			reason.Expired, reason.ExecutionUnknown, "id: issued too long ago to know whether the request ran",
		)
	}

	return nil
}

// keyPrefix is the prefix of all page keys in the platform's store.
const keyPrefix = "ledger/"

// PageKey returns the store key of the page that holds the id. The id must be well-formed.
func PageKey(id string) string {
	at, _ := IssueTime(id)

	return fmt.Sprintf("%s%d/%02d", keyPrefix, int64(at/pagePeriod), xxhash.Sum64String(id)%PagesPerPeriod)
}

// PageTTL returns how long from now the store must keep the page with the given key: until every id in
// it has expired by any of the clocks.
func PageTTL(key string, now clock.Milli) clock.Milli {
	text, _, _ := strings.Cut(strings.TrimPrefix(key, keyPrefix), "/")
	n, _ := strconv.ParseInt(text, 10, 64)

	return clock.Milli(n+1)*pagePeriod + IDLifetime + 2*MaxClockSkew - now
}
