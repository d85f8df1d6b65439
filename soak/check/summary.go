package check

import (
	"fmt"
	"net/http"
)

// Summary returns a line with the results of a run by outcome.
func Summary(seed uint64, h *History) string {
	var succeeded, refused, failed, cancelled, partial int
	for i := range h.Requests {
		req := &h.Requests[i]
		switch {
		case req.Cancelled:
			cancelled++
		case req.status() == http.StatusOK || req.status() == http.StatusNotFound:
			succeeded++
			if req.Response.Missing > 0 {
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
		seed, len(h.Requests), succeeded, partial, refused, failed, cancelled, len(h.Runs),
		len(h.DaemonDisturbances), len(h.UpstreamDisturbances))
}
