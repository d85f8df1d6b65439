package rpc

import (
	"net/http"

	"github.com/pkg/errors"
)

// maxStatus is the largest status that a response may have.
const maxStatus = 599

// CheckStatus returns a transport that fails if a response has a status that no final response has, since what its
// header says cannot be believed. Status 101 is one for a request that asks for another protocol.
func CheckStatus(transport http.RoundTripper) http.RoundTripper { return &checkedTransport{transport} }

type checkedTransport struct{ transport http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t *checkedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.transport.RoundTrip(request)
	if err != nil {
		return nil, err //nolint:wrapcheck // A transport returns the error as it is.
	}
	if !isFinal(request, response.StatusCode) {
		_ = response.Body.Close()

		return nil, errors.Errorf("rpc: status %03d, want 200 to %d", response.StatusCode, maxStatus)
	}

	return response, nil
}

// isFinal reports whether the response to a request may have a status.
func isFinal(request *http.Request, status int) bool {
	if status == http.StatusSwitchingProtocols {
		return request.Header.Get("Upgrade") != ""
	}

	return status >= http.StatusOK && status <= maxStatus
}

// CloseIdleConnections closes the idle connections of the transport.
func (t *checkedTransport) CloseIdleConnections() {
	(&http.Client{Transport: t.transport}).CloseIdleConnections()
}
