package rpc

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"jacinthferry/io/memory"
)

// ErrNoMemory is returned for a response that needs more memory than is left.
var ErrNoMemory = errors.New("rpc: no memory is left for the response")

// freeBytes is how many bytes of each response body do not count towards its memory budget, so that ordinary responses
// are read even while that is used up.
const freeBytes = 16 << 10

// LimitResponses returns a transport whose response bodies take from a budget while they are read. Reading one fails
// with ErrNoMemory when none is left.
func LimitResponses(transport http.RoundTripper, b *memory.Budget) http.RoundTripper {
	return &limitedTransport{budget: b, transport: transport}
}

type limitedTransport struct {
	budget    *memory.Budget
	transport http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *limitedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.transport.RoundTrip(request)
	if err != nil {
		return nil, err //nolint:wrapcheck // A transport returns the error as it is.
	}
	response.Body = &limitedBody{ReadCloser: response.Body, budget: t.budget, free: freeBytes}

	return response, nil
}

// limitedBody is a body that holds memory for the bytes read, but for the first free ones, until it is closed.
type limitedBody struct {
	io.ReadCloser
	budget *memory.Budget
	free   int
	held   int
}

// Read reads from the body, if there is memory for the bytes.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	counted := max(0, n-b.free)
	b.free -= n - counted
	if !b.budget.Take(counted) {
		return 0, ErrNoMemory
	}
	b.held += counted

	return n, err //nolint:wrapcheck // A reader returns io.EOF as it is.
}

// Close closes the body and releases the memory.
func (b *limitedBody) Close() error {
	b.budget.Release(b.held)
	b.held = 0

	return b.ReadCloser.Close() //nolint:wrapcheck // A closer returns the error as it is.
}
