package check

import (
	"fmt"
	"net/http"
)

// Summary returns a line with the results of a run by outcome.
func Summary(seed uint64, h *Log) string {
	var succeeded, refused, failed, cancelled, partial int
	for i := range h.Asks {
		req := &h.Asks[i]
		switch {
		case req.Gone:
			cancelled++
		case req.status() == http.StatusOK || req.status() == http.StatusNotFound:
			succeeded++
			if req.Answer.Missing > 0 {
				partial++
			}
		case req.status() == http.StatusServiceUnavailable:
			refused++
		default:
			failed++
		}
	}

	return fmt.Sprintf(
		"seed %d: %d sent, %d ok (%d partial), %d refused, %d failed, %d cancelled; %d runs; %d daemon, %d upstream faults\n",
		seed, len(h.Asks), succeeded, partial, refused, failed, cancelled, len(h.Runs),
		len(h.Troubles), len(h.Upsets))
}
