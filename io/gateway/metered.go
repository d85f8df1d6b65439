package gateway

import "net"

const (
	// headLimit is the maximum size in bytes of a response's status line and header, with those of the 1xx
	// responses before it, of which there may be interimLimit.
	headLimit    = 64 << 10
	interimLimit = 8
)

// meteredConn limits how many bytes of a response are read, so that what parses them need not. It is for one
// reader at a time.
type meteredConn struct {
	net.Conn
	memory *responseMemory
	// allowance is how many bytes may be read. It can grow by up to extra bytes, which take memory. Held is how
	// much they took.
	allowance, extra, held int
	// err is why no more bytes of the response may be read, or nil.
	err error
}

// beginHead starts the limit of a response's status line and header.
func (m *meteredConn) beginHead() { m.allowance, m.extra = freeSize, headLimit-freeSize }

// beginBody starts the limit of a body of at most limit bytes. Chunks may take as many bytes as what is in them.
func (m *meteredConn) beginBody(limit int) { m.allowance, m.extra = 2*limit+headLimit, 0 }

// release returns the memory that was taken for a header.
func (m *meteredConn) release() {
	m.memory.Release(m.held)
	m.held = 0
}

// Read reads from the connection within the allowance.
func (m *meteredConn) Read(p []byte) (int, error) {
	if m.allowance == 0 {
		if m.err = m.extend(); m.err != nil {
			return 0, m.err
		}
	}
	n, err := m.Conn.Read(p[:min(len(p), m.allowance)])
	m.allowance -= n

	return n, err //nolint:wrapcheck // A reader returns io.EOF as it is.
}

func (m *meteredConn) extend() error {
	more := min(freeSize, m.extra)
	if more == 0 {
		return errTooLarge
	}
	if !m.memory.Take(more) {
		return errNoMemory
	}
	m.extra -= more
	m.held += more
	m.allowance = more

	return nil
}
