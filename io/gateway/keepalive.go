package gateway

import (
	"strconv"
	"strings"

	"jacinthferry/core/clock"
)

// keepAliveTimeout returns the timeout in a Keep-Alive header such as "timeout=5, max=100", or 0 if it has
// no valid one.
func keepAliveTimeout(value string) clock.Milli {
	for part := range strings.SplitSeq(value, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return 0
		}

		return clock.Milli(seconds) * clock.Second
	}

	return 0
}
