package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/io/socket"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 500 * clock.Millisecond
	// ackTimeout is how long written bytes may stay unacknowledged.
	ackTimeout = 1500 * clock.Millisecond
	// idleTimeout is how long an unused connection is kept when the upstream does not say, and
	// idleMargin how much earlier than the upstream this side gives it up.
	idleTimeout = 10 * clock.Second
	idleMargin  = 500 * clock.Millisecond
	// replyLimit bounds the body of an answer in bytes.
	replyLimit = 16 << 20
	// bufferSize is the size of a connection's read buffer in bytes.
	bufferSize = 2 << 10
	// strayLimit is how many answers to other requests are read before the one that is waited for.
	strayLimit = 3
)

// Errors of a connection.
var (
	errCrossed = errors.New("gateway: the answer is for another request")
	errEncoded = errors.New("gateway: the answer's body is encoded")
	errSize    = errors.New("gateway: the answer is too large")
)

// conn is one connection to an upstream. It carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// expires is when it is not used any more.
	expires clock.Milli
}

// exchange writes a request and reads its answer. Keep reports whether the connection can be used
// again, and sent whether bytes of the request may have left.
func (c *conn) exchange(now func() clock.Milli, codec *Codec, call *Call, u *catalog.Upstream, deadline clock.Milli) (
	reply *Reply, keep, sent bool, err error,
) {
	start := now()
	left := max(clock.Millisecond, deadline-start)
	if err := c.SetDeadline(time.Now().Add((left + replyGrace).Duration())); err != nil {
		return nil, false, false, errors.Wrap(err, "gateway: cannot set deadline")
	}
	head := encode(call, codec.Encode(call, u, left))
	if n, err := c.Write(head); err != nil {
		return nil, false, n > 0, errors.Wrap(err, "gateway: cannot send")
	}
	for range strayLimit {
		reply, keep, err = c.read(codec, call.Method)
		if err != nil {
			return nil, false, true, err
		}
		if reply.ID == "" || reply.ID == call.ID {
			c.renew(now(), reply.Header)

			return reply, keep && c.reader.Buffered() == 0, true, nil
		}
	}

	return nil, false, true, errCrossed
}

// replyGrace is how long after its deadline an upstream may still say that it gave up.
const replyGrace = 250 * clock.Millisecond

// encode returns a request as it goes over the wire. The target is not parsed, so that it arrives
// byte for byte.
func encode(call *Call, header http.Header) []byte {
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

// read reads one whole answer.
func (c *conn) read(codec *Codec, method string) (*Reply, bool, error) {
	request := &http.Request{Method: method}
	response, err := http.ReadResponse(c.reader, request)
	for err == nil && response.StatusCode < http.StatusOK {
		response, err = http.ReadResponse(c.reader, request)
	}
	if err != nil {
		return nil, false, errors.Wrap(err, "gateway: no answer")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, replyLimit+1))
	if err != nil {
		return nil, false, errors.Wrap(err, "gateway: broken answer")
	}
	if len(body) > replyLimit {
		return nil, false, errSize
	}
	if response.Header.Get("Content-Encoding") != "" {
		return nil, false, errEncoded
	}
	reply := codec.Decode(response.StatusCode, response.Header)
	reply.Status, reply.Header, reply.Body = response.StatusCode, response.Header, body

	return &reply, !response.Close, nil
}

// renew notes for how long the connection may stay unused.
func (c *conn) renew(now clock.Milli, header http.Header) {
	span := idleTimeout
	if seconds := keptAlive(header.Get("Keep-Alive")); seconds > 0 {
		span = min(span, seconds-idleMargin)
	}
	c.expires = now + span
}

// usable reports whether an idle connection is open and no stray bytes came on it.
func (c *conn) usable(now clock.Milli) bool {
	return now < c.expires && c.reader.Buffered() == 0 && socket.Quiet(c.Conn)
}

// pool keeps the idle connections to upstreams. It is safe for concurrent use.
type pool struct {
	dialer *net.Dialer
	mu     sync.Mutex
	idle   map[catalog.Key][]*conn
}

func newPool() *pool {
	return &pool{dialer: socket.Dialer(dialTimeout, ackTimeout), idle: make(map[catalog.Key][]*conn)}
}

// take returns an idle connection to the upstream, or nil.
func (p *pool) take(now clock.Milli, key catalog.Key) *conn {
	for {
		c := p.pop(key)
		if c == nil || c.usable(now) {
			return c
		}
		_ = c.Close()
	}
}

func (p *pool) pop(key catalog.Key) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[key] = list[:len(list)-1]

	return c
}

// put keeps a connection for the next request.
func (p *pool) put(key catalog.Key, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[key] = append(p.idle[key], c)
}

// dial opens a connection.
func (p *pool) dial(ctx context.Context, now clock.Milli, u *catalog.Upstream) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", u.Address)
	if err != nil {
		return nil, errors.Wrap(err, "gateway: cannot connect")
	}

	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, bufferSize), expires: now + idleTimeout}, nil
}

// prune closes the connections that were idle for too long and those to upstreams that are gone.
func (p *pool) prune(now clock.Milli, known func(catalog.Key) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now < c.expires && known(key) {
				kept = append(kept, c)

				continue
			}
			_ = c.Close()
		}
		if p.idle[key] = kept; len(kept) == 0 {
			delete(p.idle, key)
		}
	}
}
