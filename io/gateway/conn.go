package gateway

import (
	"bufio"
	"fmt"
	"hash/maphash"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/io/socket"
)

const (
	// idleTimeout is the longest time that an idle connection is kept, and applies if the upstream gives
	// no Keep-Alive timeout. idleMargin is how long before the upstream's timeout this side stops using
	// the connection.
	idleTimeout = 10 * clock.Second
	idleMargin  = 500 * clock.Millisecond
	// maxRequests is how many requests a connection carries at most, which bounds what is kept of them.
	maxRequests = 512
	// readAttempts is how many responses are read in search of the one to the current request. Responses
	// to other requests are dropped.
	readAttempts = 3
)

// Errors of an exchange on a connection.
var (
	errMismatch = errors.New("gateway: response is for another request")
	errUnnamed  = errors.New("gateway: response names no request, unlike others of the upstream")
	errEncoded  = errors.New("gateway: response body has a Content-Encoding, want none")
)

// conn is a connection to an upstream. It carries one request at a time.
type conn struct {
	*meteredConn
	reader *bufio.Reader
	// expires is when an idle connection may no longer be reused.
	expires clock.Milli
	// carried are the requests that were sent on the connection.
	carried []requestHash
	// echoesIDs is set once a response on the connection had the ID of a request.
	echoesIDs bool
	// dropped is how many responses to other requests came instead of the one to the latest.
	dropped int
}

// requestHash is the hash of a request's ID.
type requestHash uint64

var hashSeed = maphash.MakeSeed()

func hashID(id string) requestHash { return requestHash(maphash.String(hashSeed, id)) }

// hasCarried reports whether a request was sent on the connection.
func (c *conn) hasCarried(hash requestHash) bool { return slices.Contains(c.carried, hash) }

// String names the connection and its latest request in events.
func (c *conn) String() string {
	return fmt.Sprintf("request %d on the connection from %s", len(c.carried), c.LocalAddr())
}

// exchange sends a request and reads the response, whose body may have limit bytes. Keep reports whether the
// connection can be reused, and sent whether any bytes of the request may have been sent.
func (c *conn) exchange(
	now func() clock.Milli, codec *Codec, call *Call, u *catalog.Upstream, deadline clock.Milli, limit int,
) (
	reply *UpstreamResponse, keep, sent bool, err error,
) {
	start := now()
	left := max(clock.Millisecond, deadline-start)
	if err := c.SetDeadline(time.Now().Add((left + responseGrace).Duration())); err != nil {
		return nil, false, false, errors.Wrap(err, "gateway: cannot set connection deadline")
	}
	c.carried = append(c.carried, hashID(call.ID))
	c.dropped = 0
	request := encodeRequest(call, codec.Encode(call, u, left))
	if n, err := c.Write(request); err != nil {
		return nil, false, n > 0, errors.Wrap(err, "gateway: cannot send request")
	}
	for range readAttempts {
		reply, keep, err = c.readResponse(codec, call.Method, limit)
		if err != nil {
			return nil, false, true, err
		}
		matches, err := c.matches(reply, call.ID)
		if matches {
			c.extendIdle(now(), reply.Header)

			return reply, keep && c.reader.Buffered() == 0 && len(c.carried) < maxRequests, true, nil
		}
		c.memory.Release(reply.held)
		if err != nil {
			return nil, false, true, err
		}
		c.dropped++
	}

	return nil, false, true, errMismatch
}

// matches reports whether a response is that to the request with the given ID. One without an ID is, unless responses
// on the connection have had one: it is then an error, as it may be that to any request.
func (c *conn) matches(reply *UpstreamResponse, id string) (bool, error) {
	if reply.ID != "" {
		c.echoesIDs = true

		return reply.ID == id, nil
	}
	if c.echoesIDs {
		return false, errUnnamed
	}

	return true, nil
}

// responseGrace is how long after its deadline an upstream may still report that it gave up.
const responseGrace = 250 * clock.Millisecond

// encodeRequest returns a request in HTTP/1.1 wire format. The target is not parsed, so that the upstream
// receives it byte for byte.
func encodeRequest(call *Call, header http.Header) []byte {
	b := make([]byte, 0, 512+len(call.Body))
	b = append(b, call.Method...)
	b = append(b, ' ')
	b = append(b, call.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, call.Host...)
	b = append(b, "\r\n"...)
	for _, h := range []http.Header{call.Header, header} {
		for name, values := range h {
			for _, value := range values {
				b = append(b, name...)
				b = append(b, ": "...)
				b = append(b, value...)
				b = append(b, "\r\n"...)
			}
		}
	}
	if len(call.Body) > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(call.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)

	return append(b, call.Body...)
}

// extendIdle sets when the connection expires, which depends on the Keep-Alive header of the response.
func (c *conn) extendIdle(now clock.Milli, header http.Header) {
	span := idleTimeout
	if seconds := keepAliveTimeout(header.Get("Keep-Alive")); seconds > 0 {
		span = min(span, seconds-idleMargin)
	}
	c.expires = now + span
}

// usable reports whether an idle connection has not expired, is open, and has no unexpected bytes to read.
func (c *conn) usable(now clock.Milli) bool {
	return now < c.expires && c.reader.Buffered() == 0 && socket.Reusable(c.Conn)
}
