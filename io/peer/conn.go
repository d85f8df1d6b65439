package peer

import (
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"jacinthferry/core/clock"
	"jacinthferry/core/home"
	"jacinthferry/core/leg"
	"jacinthferry/core/quarantine"
	"jacinthferry/core/route"
	"jacinthferry/core/submit"
)

// maxMessageBytes is the size of the largest message that is read.
const maxMessageBytes = 8 << 20

// ErrFrame is returned for a message that cannot be decoded.
var ErrFrame = errors.New("peer: invalid message")

// Handlers are the callbacks of a connection. All but Now and Silent are called by its reader, one at a time.
type Handlers struct {
	Now    func() clock.Milli
	Leg    func(from *Link, id uint64, l leg.Leg)
	Answer func(id uint64, r leg.Result)
	// Cancel gets an empty upstream if the remote daemon is of an earlier release.
	Cancel  func(from *Link, id uint64, upstream string)
	Holding func(from *Link, h route.Holding, gone bool)
	Control func(from *Link, c Control)
	// Warn takes a warning of a request that is associated with crashes.
	Warn func(e quarantine.Warning)
	// Submit takes a request whose ledger page this daemon owns, and Outcome the result of a request that this
	// daemon submitted.
	Submit  func(from *Link, id uint64, r submit.Request)
	Outcome func(id uint64, r leg.Result)
	// Silent is called, if set, before an unresponsive connection is closed.
	Silent func(from *Link)
	// Handover takes a message on the handover of an upstream between homes.
	Handover func(from *Link, m home.Message)
	// Garbled is called, if set, before a connection is closed after an invalid or too large message.
	Garbled func(from *Link, err error)
	// Closed is called once, after the last message was handled.
	Closed func(from *Link)
}

// Link is an open connection to another daemon. What is sent while a message is being written goes into the next
// message together. It is safe for concurrent use.
type Link struct {
	// Name is the name of the remote daemon.
	Name          string
	handlers      Handlers
	socket        *websocket.Conn
	mu            sync.Mutex
	pending       *message
	pendingAction livenessAction
	liveness      liveness
	ready         chan struct{}
	done          chan struct{}
	closeOnce     sync.Once
}

func newConn(name string, socket *websocket.Conn, handlers Handlers) *Link {
	socket.SetReadLimit(maxMessageBytes)

	return &Link{
		Name: name, handlers: handlers, socket: socket, pending: &message{Version: version},
		liveness: liveness{lastMessage: handlers.Now()}, ready: make(chan struct{}, 1), done: make(chan struct{}),
	}
}

// Leg asks the remote daemon to run a leg on an upstream that it is home to.
func (l *Link) Leg(id uint64, g leg.Leg) {
	m := toLegRequest(id, g, l.handlers.Now())
	l.enqueue(func(msg *message) { msg.Legs = append(msg.Legs, m) })
}

// Answer returns the result of a leg that the remote daemon sent.
func (l *Link) Answer(id uint64, r leg.Result) {
	m := toLegResult(id, r)
	l.enqueue(func(msg *message) { msg.Answers = append(msg.Answers, m) })
}

// Cancel cancels a leg that was sent for an upstream.
func (l *Link) Cancel(id uint64, upstream string) {
	l.enqueue(func(msg *message) { msg.UpstreamCancels = append(msg.UpstreamCancels, cancellation{id, upstream}) })
}

// Holding tells the remote daemon which snapshots an upstream holds, or that the upstream is gone.
func (l *Link) Holding(h route.Holding, gone bool) {
	m := toHoldingUpdate(h, gone)
	l.enqueue(func(msg *message) { msg.Holdings = append(msg.Holdings, m) })
}

// Handover sends a message on the handover of an upstream between homes.
func (l *Link) Handover(m home.Message) {
	l.enqueue(func(msg *message) { msg.Handover = append(msg.Handover, toHandoverMessage(m)) })
}

func (l *Link) enqueue(appendTo func(*message)) {
	l.mu.Lock()
	appendTo(l.pending)
	l.mu.Unlock()
	l.signalWriter()
}

func (l *Link) signalWriter() {
	select {
	case l.ready <- struct{}{}:
	default:
	}
}

// Close closes the connection. Further calls do nothing.
func (l *Link) Close() {
	l.closeOnce.Do(func() {
		close(l.done)
		_ = l.socket.CloseNow()
	})
}

// run reads and writes messages until the connection closes.
func (l *Link) run(ctx context.Context) {
	go l.write(ctx)
	go l.watchLiveness()
	l.read(ctx)
	l.Close()
	l.handlers.Closed(l)
}

func (l *Link) write(ctx context.Context) {
	defer l.Close()
	for {
		select {
		case <-l.ready:
		case <-l.done:
			return
		}
		msg, action := l.takePending()
		if msg.empty() && action == noAction {
			continue
		}
		msg.WantReply = action == requestReply
		data, err := cbor.Marshal(msg)
		if err != nil {
			return
		}
		l.liveness.recordSent(l.handlers.Now(), msg.WantReply || !msg.empty())
		if err := l.socket.Write(ctx, websocket.MessageBinary, data); err != nil {
			return
		}
	}
}

func (l *Link) takePending() (*message, livenessAction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	msg, action := l.pending, l.pendingAction
	l.pending, l.pendingAction = &message{Version: version}, noAction

	return msg, action
}

// watchLiveness checks the connection regularly and closes it when it is unresponsive.
func (l *Link) watchLiveness() {
	ticker := time.NewTicker(livenessCheckInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-l.done:
			return
		}
		switch action := l.liveness.nextAction(l.handlers.Now()); action {
		case noAction:
		case closeConn:
			l.closeUnresponsive()

			return
		default:
			l.mu.Lock()
			l.pendingAction = action
			l.mu.Unlock()
			l.signalWriter()
		}
	}
}

func (l *Link) closeUnresponsive() {
	if l.handlers.Silent != nil {
		l.handlers.Silent(l)
	}
	l.Close()
}

func (l *Link) read(ctx context.Context) {
	for {
		_, data, err := l.socket.Read(ctx)
		if err != nil {
			if errors.Is(err, websocket.ErrMessageTooBig) {
				l.reportInvalid(err)
			}

			return
		}
		msg, err := decode(data)
		if err != nil {
			l.reportInvalid(err)

			return
		}
		l.liveness.recordReceived(l.handlers.Now(), msg.WantReply || !msg.empty())
		if err := l.dispatch(msg); err != nil {
			l.reportInvalid(err)

			return
		}
	}
}

func (l *Link) reportInvalid(err error) {
	if l.handlers.Garbled != nil {
		l.handlers.Garbled(l, err)
	}
}

func decode(data []byte) (*message, error) {
	var msg message
	if err := cbor.Unmarshal(data, &msg); err != nil {
		return nil, errors.Wrap(ErrFrame, err.Error())
	}

	return &msg, nil
}

// dispatch passes the entries of a message to the handlers, or none of them if a control message is invalid.
func (l *Link) dispatch(msg *message) error {
	controls := make([]Control, 0, len(msg.Controls))
	for _, m := range msg.Controls {
		c, err := m.control()
		if err != nil {
			return err
		}
		controls = append(controls, c)
	}
	now := l.handlers.Now()
	for _, c := range controls {
		l.handlers.Control(l, c)
	}
	for _, m := range msg.Holdings {
		l.handlers.Holding(l, m.holding(), m.Gone)
	}
	for _, m := range msg.Handover {
		l.handlers.Handover(l, m.message())
	}
	for _, m := range msg.Answers {
		l.handlers.Answer(m.ID, m.result())
	}
	for _, m := range msg.Legs {
		l.handlers.Leg(l, m.ID, m.leg(now))
	}
	for _, id := range msg.Cancels {
		l.handlers.Cancel(l, id, "")
	}
	for _, m := range msg.UpstreamCancels {
		l.handlers.Cancel(l, m.ID, m.Upstream)
	}
	for _, m := range msg.Outcomes {
		l.handlers.Outcome(m.ID, m.result())
	}
	for _, m := range msg.Submits {
		l.handlers.Submit(l, m.ID, m.request(now))
	}
	for _, m := range msg.Warnings {
		l.handlers.Warn(m.warning())
	}

	return nil
}
