package gateway

import (
	"net/http"

	"github.com/pkg/errors"
)

// readResponse reads one final response with its body and reports whether the connection stays open.
func (c *conn) readResponse(codec *Codec, method string, limit int) (*UpstreamResponse, bool, error) {
	// Releases what the header holds unless a reply takes it over.
	defer c.release()
	response, err := c.readHead(method)
	if err != nil {
		return nil, false, errors.Wrap(err, "gateway: no answer")
	}
	defer func() { _ = response.Body.Close() }()
	if response.Header.Get("Content-Encoding") != "" {
		return nil, false, errEncoded
	}
	c.beginBody(limit)
	body, held, err := c.memory.read(response.Body, response.ContentLength, limit)
	if err != nil {
		return nil, false, err
	}
	reply := codec.Decode(response.StatusCode, response.Header)
	reply.Status, reply.Header, reply.Body = response.StatusCode, response.Header, body
	reply.held, c.held = held+c.held, 0

	return &reply, !response.Close, nil
}

// readHead reads the status and header of one final response, skipping interim ones. The header holds memory until
// the caller calls release.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.beginHead()
	request := &http.Request{Method: method}
	for range interimLimit + 1 {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil && c.err != nil {
			// The parser may have taken the cut for a malformed line.
			return nil, c.err
		}
		if err != nil {
			return nil, err //nolint:wrapcheck // The caller wraps it.
		}
		interim, err := isInterim(response)
		if err != nil || !interim {
			return response, err
		}
	}

	return nil, errTooLarge
}

// maxStatus is the largest status that a response may have.
const maxStatus = 599

// isInterim reports whether a response precedes the final one. It returns an error for one that is neither: after it,
// nothing shows where the next response begins, or whether there is one.
func isInterim(r *http.Response) (bool, error) {
	switch status := r.StatusCode; {
	case r.ProtoMajor != 1:
		return false, errors.Errorf("gateway: response of protocol %q", r.Proto)
	case status < http.StatusContinue || status > maxStatus:
		return false, errors.Errorf("gateway: status %03d, want 100 to %d", status, maxStatus)
	case status >= http.StatusOK:
		return false, nil
	case status == http.StatusSwitchingProtocols:
		return false, errors.New("gateway: switch to another protocol, which was not requested")
	case hasBody(r):
		return false, errors.Errorf("gateway: interim response with status %d has a body", status)
	}

	return true, nil
}

// hasBody reports whether the header of an interim response announces a body, which it must not have.
func hasBody(r *http.Response) bool {
	length := r.Header.Get("Content-Length")

	return (length != "" && length != "0") || len(r.TransferEncoding) > 0
}
