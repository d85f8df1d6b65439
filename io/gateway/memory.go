package gateway

import (
	"io"

	"github.com/pkg/errors"

	"jacinthferry/core/gather"
	"jacinthferry/io/memory"
)

const (
	// responseLimit is the maximum size in bytes of a body that is forwarded, and partLimit that of a shard's
	// response, which holds records.
	responseLimit = 16 << 20
	partLimit     = 1 << 20
	// freeSize is how many bytes of each header and of each body do not count towards the shared memory. Ordinary
	// responses are read even while other upstreams send as much as they can.
	freeSize = 4 << 10
	// maxStampBytes is the longest signature of a shard's response. An answer holds those of all shards.
	maxStampBytes = 1 << 10
	// minBodyBuffer is the smallest buffer in bytes for a body.
	minBodyBuffer = 512
)

// Errors for responses that are larger than allowed.
var (
	errTooLarge = errors.New("gateway: response is over the limit")
	errNoMemory = errors.New("gateway: no memory is left for the response")
)

// isTooLarge reports whether a response was given up because of its size.
func isTooLarge(err error) bool { return errors.Is(err, errTooLarge) || errors.Is(err, errNoMemory) }

// responseMemory limits the memory that the large responses of all legs hold together. It is safe for concurrent use.
type responseMemory struct {
	*memory.Budget
}

func newResponseMemory(limit int) *responseMemory { return &responseMemory{memory.NewBudget(limit)} }

// read reads a body of at most limit bytes, of which length are announced, or -1 if none. It returns the body and
// how many bytes it holds of the memory, which the caller must release.
func (m *responseMemory) read(r io.Reader, length int64, limit int) (body []byte, held int, err error) {
	// One more byte than announced lets the end be seen without a larger buffer.
	body = make([]byte, 0, min(freeSize, max(minBodyBuffer, length+1)))
	for {
		if len(body) == cap(body) {
			size := min(2*cap(body), limit+1)
			if more := size - freeSize - held; more > 0 {
				if !m.Take(more) {
					m.Release(held)

					return nil, 0, errNoMemory
				}
				held += more
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if len(body) > limit {
			err = errTooLarge
		}
		if err == io.EOF { //nolint:errorlint // A reader returns io.EOF as it is.
			return body, held, nil
		}
		if err != nil {
			m.Release(held)

			return nil, 0, errors.Wrap(err, "gateway: cannot read response body")
		}
	}
}

// reduce drops what an answer does not take of a shard's response: the header and, of a large body, all but the top
// greatest records. It releases the memory of these. A signature that is too long counts as missing.
func (m *responseMemory) reduce(reply *UpstreamResponse, top int) {
	reply.Header = nil
	if len(reply.Stamp) > maxStampBytes {
		reply.Stamp = ""
	}
	if reply.held == 0 {
		return
	}
	reply.Body = gather.TopRecords([][]byte{reply.Body}, top)
	held := min(reply.held, max(0, len(reply.Body)-freeSize))
	m.Release(reply.held - held)
	reply.held = held
}
