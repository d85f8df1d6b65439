package registered

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// Faults configure fault injection. The zero value injects none. Shares lie between 0 and 1.
type Faults struct {
	// Shares of requests that get status 500, whose connection is aborted after they ran, whose response is
	// truncated, and whose response is followed by a second one on the same connection.
	ErrorShare, LostShare, TruncatedShare, ExtraResponseShare float64
	// EndlessShare is the share of requests that are answered with bytes that do not end until the caller closes
	// the connection.
	EndlessShare float64
	// SlowdownFactor is the factor by which the service time is multiplied, or 0 for none.
	SlowdownFactor float64
}

// endlessStarts are the beginnings of responses that go on without end: in the status line, in a header line and in
// the body.
var endlessStarts = []string{"", "HTTP/1.1 200 OK\r\nX: ", "HTTP/1.1 200 OK\r\n\r\n"}

const (
	endlessPartBytes = 16 << 10
	endlessPause     = time.Millisecond
	// endlessTimeout ends the bytes if the caller never closes the connection.
	endlessTimeout = 10 * time.Second
)

// sendWithoutEnd sends bytes on the connection until the other end closes it.
func sendWithoutEnd(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(endlessTimeout))
	_, err = io.WriteString(c, endlessStarts[rand.IntN(len(endlessStarts))])
	part := strings.Repeat("x", endlessPartBytes)
	for err == nil {
		_, err = io.WriteString(c, part)
		time.Sleep(endlessPause)
	}
}

// truncatedWriter announces the 96 bytes of a whole body, of which only a part is written.
type truncatedWriter struct{ http.ResponseWriter }

func (t *truncatedWriter) WriteHeader(status int) {
	t.Header().Set("Content-Length", "96")
	t.ResponseWriter.WriteHeader(status)
}

// sendExtraResponse sends a second response after a complete one on the same connection.
func sendExtraResponse(w http.ResponseWriter) {
	c, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_ = buffered.Flush()
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
	time.Sleep(time.Second)
}
