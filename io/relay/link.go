package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"jacinthferry/core/clock"
	"jacinthferry/core/gather"
	"jacinthferry/core/reason"
	"jacinthferry/io/gateway"
)

const (
	// queueLength is how many messages wait to be written at most.
	queueLength = 64
	// lateSpan is how long after its answers are merged something must be heard of a group. Else the
	// other daemon is silent, and the link is closed.
	lateSpan = 60 * clock.Millisecond
	// overdueSpan is how long after the deadlines of its legs a group must be over. Else the link is
	// closed.
	overdueSpan = 500 * clock.Millisecond
)

// link is a connection to a daemon that sends legs for this one.
type link struct {
	now    func() clock.Milli
	socket *websocket.Conn
	queue  chan frame

	mu     sync.Mutex
	last   uint64
	open   map[uint64]*openGroup
	closed bool
	// why is the first reason for which the link closes.
	why error
}

// openGroup is a group that was handed over and is not over.
type openGroup struct {
	deliver func(gateway.Delivery)
	// left are the numbers of the legs without a result.
	left map[int]bool
	// heard is set once something came of the group, and end is when it must be over.
	heard bool
	end   clock.Milli
	timer *time.Timer
}

func newLink(now func() clock.Milli, socket *websocket.Conn) *link {
	socket.SetReadLimit(frameLimit)

	return &link{now: now, socket: socket, queue: make(chan frame, queueLength), open: make(map[uint64]*openGroup)}
}

// run reads and writes until the link closes, and returns why it did.
func (l *link) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.write(ctx)
	l.fail(l.read(ctx))

	return l.close()
}

// fail closes the socket for a reason. The reader ends the link then.
func (l *link) fail(why error) {
	l.mu.Lock()
	if l.why == nil {
		l.why = why
	}
	l.mu.Unlock()
	_ = l.socket.CloseNow()
}

// close ends the link and returns why. Legs that are open have failed; whether they ran is not known.
func (l *link) close() error {
	l.mu.Lock()
	open, why := l.open, l.why
	l.open, l.closed = nil, true
	l.mu.Unlock()
	for _, h := range open {
		h.timer.Stop()
		failed := gateway.Delivery{}
		for number := range h.left {
			result := gather.Result{Sent: true, Run: reason.Unknown, Reason: reason.Peer}
			failed.Parts = append(failed.Parts, gateway.Part{Number: number, Result: result})
		}
		h.deliver(failed)
	}

	return why
}

// send hands a group over, or reports false when the link cannot take it. It does not block.
func (l *link) send(call *gateway.Call, group *gather.Group, deliver func(gateway.Delivery)) (func(), bool) {
	now := l.now()
	h := &openGroup{deliver: deliver, left: make(map[int]bool, len(group.Legs)), end: now}
	for i := range group.Legs {
		h.left[group.Legs[i].Number] = true
		h.end = max(h.end, group.Legs[i].Deadline+overdueSpan)
	}
	first := h.end
	if group.Wait > 0 {
		first = min(first, now+group.Wait+lateSpan)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, false
	}
	l.last++
	id := l.last
	select {
	case l.queue <- frame{Ask: newAsk(id, call, group, now)}:
	default:
		return nil, false
	}
	l.open[id] = h
	h.timer = time.AfterFunc((first - now).Duration(), func() { l.due(id) })

	return func() { l.cancel(id) }, true
}

// due closes the link when a group is not over in time, or nothing was heard of it.
func (l *link) due(id uint64) {
	l.mu.Lock()
	h := l.open[id]
	if h == nil {
		l.mu.Unlock()

		return
	}
	left := h.end - l.now()
	if h.heard && left > 0 {
		h.timer.Reset(left.Duration())
		l.mu.Unlock()

		return
	}
	l.mu.Unlock()
	l.fail(ErrSilent)
}

// cancel gives up on the open legs of a group.
func (l *link) cancel(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[id] == nil {
		return
	}
	select {
	case l.queue <- frame{Cancel: id}:
	default:
		// The other daemon takes no messages: the link's end cancels what runs there.
		go l.fail(ErrSilent)
	}
}

func (l *link) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.queue:
			if err := l.writeOne(ctx, f); err != nil {
				l.fail(err)

				return
			}
		}
	}
}

func (l *link) writeOne(ctx context.Context, f frame) error {
	text, err := encode(f)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()

	return errors.Wrap(l.socket.Write(ctx, websocket.MessageBinary, text), "relay: cannot write")
}

// read takes messages until the link closes, and returns why it did.
func (l *link) read(ctx context.Context) error {
	for {
		_, text, err := l.socket.Read(ctx)
		if err != nil {
			return errors.Wrap(err, "relay: cannot read")
		}
		f, err := decode(text)
		if err != nil {
			return err
		}
		if f.Delivery == nil {
			return errors.Wrap(ErrFrame, "no delivery")
		}
		l.deliver(f.Delivery)
	}
}

// deliver passes on the results of legs that are open.
func (l *link) deliver(m *delivery) {
	l.mu.Lock()
	h := l.open[m.ID]
	if h == nil {
		l.mu.Unlock()

		return
	}
	h.heard = true
	// A leg has one result; others are not for this group.
	m.Parts = slices.DeleteFunc(m.Parts, func(p part) bool {
		open := h.left[p.Number]
		delete(h.left, p.Number)

		return !open
	})
	if len(h.left) == 0 {
		h.timer.Stop()
		delete(l.open, m.ID)
	}
	l.mu.Unlock()
	h.deliver(m.delivery())
}
