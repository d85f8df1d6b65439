package relay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"k8s.io/klog/v2"

	"jacinthferry/core/clock"
	"jacinthferry/io/gateway"
)

// writeTimeout bounds the writing of a message. A link whose other end does not read is closed.
const writeTimeout = time.Second

// Server sends legs for other daemons.
type Server struct {
	Now func() clock.Milli
	// Send sends the legs of a call, as gateway.Gateway does.
	Send func(
		ctx context.Context, call *gateway.Call, legs []gateway.RelayLeg, wait clock.Milli, top int,
		send func(gateway.Delivery),
	)
}

// ServeHTTP serves one link until it closes or the request's context ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	socket, err := websocket.Accept(w, r, nil)
	if err != nil {
		klog.InfoS("relay refused", "from", r.RemoteAddr, "err", err)

		return
	}
	socket.SetReadLimit(frameLimit)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	l := &inbound{server: s, socket: socket, cancels: make(map[uint64]context.CancelFunc)}
	l.read(ctx)
	_ = socket.CloseNow()
}

// inbound is a link that another daemon opened.
type inbound struct {
	server  *Server
	socket  *websocket.Conn
	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
}

// read takes messages until the link closes.
func (l *inbound) read(ctx context.Context) {
	for {
		_, text, err := l.socket.Read(ctx)
		if err != nil {
			return
		}
		f, err := decode(text)
		if err != nil {
			klog.InfoS("relay closed", "err", err)

			return
		}
		if f.Ask != nil {
			l.begin(ctx, f.Ask)
		}
		if f.Cancel != 0 {
			l.end(f.Cancel)
		}
	}
}

// begin sends the legs of a call.
func (l *inbound) begin(ctx context.Context, a *ask) {
	ctx, cancel := context.WithCancel(ctx)
	l.mu.Lock()
	l.cancels[a.ID] = cancel
	l.mu.Unlock()
	go func() {
		defer l.end(a.ID)
		l.server.Send(ctx, a.call(l.server.Now()), a.relayLegs(), a.Wait, a.Top, func(d gateway.Delivery) {
			l.write(newDelivery(a.ID, d))
		})
	}()
}

// end cancels the legs of a call that are still open.
func (l *inbound) end(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cancel := l.cancels[id]; cancel != nil {
		cancel()
		delete(l.cancels, id)
	}
}

func (l *inbound) write(d *delivery) {
	text, err := encode(frame{Delivery: d})
	if err != nil {
		klog.ErrorS(err, "relay")

		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	// When it fails the link closes, and the other daemon takes the legs as failed.
	_ = l.socket.Write(ctx, websocket.MessageBinary, text)
}
