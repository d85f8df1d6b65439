package upstream

import (
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"

	"jacinthferry/core/reason"
)

// callHeader is the header in which a daemon names a call, and the upstream the call that it responds to. An upstream
// may send a second copy of a response, late, where that to a later call is due; the request's ID cannot tell these
// apart if both calls are of one request.
const callHeader = "Call"

var errAnotherCall = errors.New("upstream: the response belongs to another call")

// callTransport names each call, and fails if the response names another one, or none on a connection whose responses
// have named theirs.
type callTransport struct {
	transport http.RoundTripper
	last      atomic.Uint64
}

// RoundTrip implements http.RoundTripper.
func (t *callTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	var used *conn
	request = request.Clone(httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { used, _ = info.Conn.(*conn) },
	}))
	id := strconv.FormatUint(t.last.Add(1), 10)
	request.Header.Set(callHeader, id)
	response, err := t.transport.RoundTrip(request)
	if err != nil {
		return nil, err //nolint:wrapcheck // A transport returns the error as it is.
	}
	named := response.Header.Get(callHeader)
	switch {
	case named == id:
		if used != nil {
			used.namesCalls.Store(true)
		}

		return response, nil
	case named == "" && (used == nil || !used.namesCalls.Load()):
		return response, nil
	}
	_ = response.Body.Close()
	if used != nil {
		used.retire(reason.Mismatch)
	}

	return nil, errAnotherCall
}

// nameCalls returns a handler whose responses name the calls that they belong to.
func nameCalls(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(callHeader); id != "" {
			w.Header().Set(callHeader, id)
		}
		h.ServeHTTP(w, r)
	})
}
