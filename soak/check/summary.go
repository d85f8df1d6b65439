package check

import (
	"fmt"
	"net/http"
)

// Summary returns a line with the results of a run by outcome.
func Summary(seed uint64, l *Log) string {
	var good, refused, failed, gone, partial int
	for i := range l.Asks {
		a := &l.Asks[i]
		switch {
		case a.Gone:
			gone++
		case a.status() == http.StatusOK || a.status() == http.StatusNotFound:
			good++
			if a.Answer.Missing > 0 {
				partial++
			}
		case a.status() == http.StatusServiceUnavailable:
			refused++
		default:
			failed++
		}
	}

	return fmt.Sprintf(
		"seed %d: %d sent, %d ok (%d partial), %d refused, %d failed, %d cancelled; %d runs; %d daemon, %d upstream faults\n",
		seed, len(l.Asks), good, partial, refused, failed, gone, len(l.Runs), len(l.Troubles), len(l.Upsets))
}
