package relay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"k8s.io/klog/v2"

	"jacinthferry/core/clock"
	"jacinthferry/core/quarantine"
	"jacinthferry/io/gateway"
)

// writeTimeout bounds the writing of a message. A connection whose other end does not read is closed.
const writeTimeout = time.Second

// Server is an http.Handler that sends legs for other daemons. Its fields must not change while it serves.
type Server struct {
	// Now returns the time.
	Now func() clock.Milli
	// SendLegs sends the legs of a call, as gateway.Gateway does.
	SendLegs func(
		ctx context.Context, call *gateway.Call, legs []gateway.RelayLeg, wait clock.Milli, top int,
		send func(gateway.RelayResponse),
	)
	// Warn is called with what another daemon knows of a request that crashes upstreams. It may be nil.
	Warn func(quarantine.Warning)
}

// ServeHTTP accepts a WebSocket and serves it until it closes or the request's context ends. Legs that are
// then still running are cancelled.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		klog.InfoS("cannot accept relay connection", "from", r.RemoteAddr, "err", err)

		return
	}
	conn.SetReadLimit(maxMessageBytes)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	c := &serverConn{server: s, conn: conn, cancels: make(map[uint64]context.CancelFunc)}
	c.read(ctx)
	_ = conn.CloseNow()
}

// serverConn is a connection that another daemon opened.
type serverConn struct {
	server *Server
	conn   *websocket.Conn
	mu     sync.Mutex
	// cancels holds the cancel functions of the running requests by their IDs.
	cancels map[uint64]context.CancelFunc
}

// read handles messages until the connection closes.
func (c *serverConn) read(ctx context.Context) {
	for {
		_, data, err := c.conn.Read(ctx)
		if err != nil {
			return
		}
		m, err := decode(data)
		if err != nil {
			klog.InfoS("relay connection closed after invalid message", "err", err)

			return
		}
		if m.Request != nil && !c.start(ctx, m.Request) {
			klog.InfoS("relay connection closed after a second request with a running ID", "id", m.Request.ID)

			return
		}
		if m.Cancel != 0 {
			c.cancel(m.Cancel)
		}
		c.warn(m.Warnings)
	}
}

// start sends the legs of a request in a goroutine of their own. It reports false if another request with the same
// ID is running.
func (c *serverConn) start(ctx context.Context, r *request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancels[r.ID] != nil {
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	c.cancels[r.ID] = cancel
	go func() {
		defer c.cancel(r.ID)
		c.server.SendLegs(ctx, r.call(c.server.Now()), r.relayLegs(), r.MergeWait, r.Top, func(d gateway.RelayResponse) {
			c.write(newResponse(r.ID, d))
		})
	}()

	return true
}

// warn passes on the valid warnings.
func (c *serverConn) warn(list []warning) {
	if c.server.Warn == nil {
		return
	}
	for i := range list {
		if w, valid := list[i].quarantineWarning(); valid {
			c.server.Warn(w)
		}
	}
}

// cancel cancels the legs of a request that are still running.
func (c *serverConn) cancel(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel := c.cancels[id]; cancel != nil {
		cancel()
		delete(c.cancels, id)
	}
}

func (c *serverConn) write(r *response) {
	data, err := encode(message{Response: r})
	if err != nil {
		klog.ErrorS(err, "relay")

		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	// A failed write closes the connection, and the other daemon takes the legs as failed.
	_ = c.conn.Write(ctx, websocket.MessageBinary, data)
}
