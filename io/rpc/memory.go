package rpc

import (
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"jacinthferry/core/budget"
)

// ErrNoMemory is returned for a response that needs more memory than is left.
var ErrNoMemory = errors.New("rpc: no memory is left for the response")

// freeBytes is how many bytes of each response do not count towards a ResponseMemory, so that ordinary ones are read
// even while it is used up.
const freeBytes = 16 << 10

// ResponseMemory limits the memory that the large responses of several clients hold together while they are read. It is
// safe for concurrent use.
type ResponseMemory struct {
	mu     sync.Mutex
	budget *budget.Bytes
}

// NewResponseMemory returns a memory of limit bytes.
func NewResponseMemory(limit int) *ResponseMemory {
	return &ResponseMemory{budget: budget.NewBytes(limit)}
}

// Held returns how many bytes are held.
func (m *ResponseMemory) Held() int {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.budget.Held()
}

func (m *ResponseMemory) take(n int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.budget.Take(n)
}

func (m *ResponseMemory) release(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Release(n)
}

// Limit returns a transport whose response bodies take from the memory. Reading one fails with ErrNoMemory when none is
// left.
func (m *ResponseMemory) Limit(transport http.RoundTripper) http.RoundTripper {
	return &limitedTransport{memory: m, transport: transport}
}

type limitedTransport struct {
	memory    *ResponseMemory
	transport http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *limitedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.transport.RoundTrip(request)
	if err != nil {
		return nil, err //nolint:wrapcheck // A transport returns the error as it is.
	}
	response.Body = &limitedBody{ReadCloser: response.Body, memory: t.memory, free: freeBytes}

	return response, nil
}

// limitedBody is a body that holds memory for the bytes read, but for the first free ones, until it is closed.
type limitedBody struct {
	io.ReadCloser
	memory *ResponseMemory
	free   int
	held   int
}

// Read reads from the body, if there is memory for the bytes.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	counted := max(0, n-b.free)
	b.free -= n - counted
	if !b.memory.take(counted) {
		return 0, ErrNoMemory
	}
	b.held += counted

	return n, err //nolint:wrapcheck // A reader returns io.EOF as it is.
}

// Close closes the body and releases the memory.
func (b *limitedBody) Close() error {
	b.memory.release(b.held)
	b.held = 0

	return b.ReadCloser.Close() //nolint:wrapcheck // A closer returns the error as it is.
}
