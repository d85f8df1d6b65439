package check

import (
	"fmt"
	"net/http"
)

// Summary returns a line that says what a run served.
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
		"seed %d: %d asked, %d served (%d partly), %d refused, %d failed, %d given up; %d runs, %d troubles, %d upsets\n",
		seed, len(l.Asks), good, partial, refused, failed, gone, len(l.Runs), len(l.Troubles), len(l.Upsets))
}
