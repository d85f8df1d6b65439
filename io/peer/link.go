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

// frameLimit is the size of the largest frame that a link reads, in bytes.
const frameLimit = 8 << 20

// ErrFrame is returned for a frame that cannot be decoded.
var ErrFrame = errors.New("peer: not a frame of this protocol")

// Handlers are called by a link's reader, one at a time.
type Handlers struct {
	Now    func() clock.Milli
	Leg    func(from *Link, id uint64, l leg.Leg)
	Answer func(id uint64, r leg.Result)
	// Cancel names no upstream when the other daemon is of an earlier release.
	Cancel  func(from *Link, id uint64, upstream string)
	Holding func(from *Link, h route.Holding, gone bool)
	Control func(from *Link, c Control)
	// Warn takes what the other daemon knows of a request tied to crashes.
	Warn func(e quarantine.Warning)
	// Submit takes a request whose ledger page this daemon owns, and Outcome the result of one
	// that was handed over.
	Submit  func(from *Link, id uint64, r submit.Request)
	Outcome func(id uint64, r leg.Result)
	// Silent is called, if set, before a link that stopped carrying frames is closed.
	Silent func(from *Link)
	// Handover takes a message about the home of an upstream.
	Handover func(from *Link, m home.Message)
	// Garbled is called, if set, before a link is closed whose frame cannot be taken.
	Garbled func(from *Link, err error)
	// Closed is called once, after the last message.
	Closed func(from *Link)
}

// Link is an open connection to another daemon. Messages sent while a frame is being written go
// into the next frame together.
type Link struct {
	// Name is the other daemon's name.
	Name     string
	handlers Handlers
	socket   *websocket.Conn
	mu       sync.Mutex
	next     *frame
	beat     due
	pulse    pulse
	ready    chan struct{}
	done     chan struct{}
	once     sync.Once
}

func newLink(name string, socket *websocket.Conn, handlers Handlers) *Link {
	socket.SetReadLimit(frameLimit)

	return &Link{
		Name: name, handlers: handlers, socket: socket, next: &frame{Version: version},
		pulse: pulse{last: handlers.Now()}, ready: make(chan struct{}, 1), done: make(chan struct{}),
	}
}

// Leg asks the other daemon to run a leg on an upstream that it is home to.
func (l *Link) Leg(id uint64, g leg.Leg) {
	m := toLeg(id, g, l.handlers.Now())
	l.add(func(f *frame) { f.Legs = append(f.Legs, m) })
}

// Answer returns the result of a leg that the other daemon sent.
func (l *Link) Answer(id uint64, r leg.Result) {
	m := toAnswer(id, r)
	l.add(func(f *frame) { f.Answers = append(f.Answers, m) })
}

// Cancel gives up on a leg sent earlier for an upstream.
func (l *Link) Cancel(id uint64, upstream string) {
	l.add(func(f *frame) { f.Recalls = append(f.Recalls, recall{id, upstream}) })
}

// Holding tells the other daemon what an upstream holds, or that it is gone.
func (l *Link) Holding(h route.Holding, gone bool) {
	m := toHolding(h, gone)
	l.add(func(f *frame) { f.Holdings = append(f.Holdings, m) })
}

// Handover tells the other daemon about the home of an upstream.
func (l *Link) Handover(m home.Message) {
	l.add(func(f *frame) { f.Handover = append(f.Handover, toHandover(m)) })
}

func (l *Link) add(put func(*frame)) {
	l.mu.Lock()
	put(l.next)
	l.mu.Unlock()
	l.wake()
}

func (l *Link) wake() {
	select {
	case l.ready <- struct{}{}:
	default:
	}
}

// Close ends the link.
func (l *Link) Close() {
	l.once.Do(func() {
		close(l.done)
		_ = l.socket.CloseNow()
	})
}

// run reads and writes until the link closes.
func (l *Link) run(ctx context.Context) {
	go l.write(ctx)
	go l.watch()
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
		f, beat := l.take()
		if f.empty() && beat == nothing {
			continue
		}
		f.Beat = beat == sendAsk
		text, err := cbor.Marshal(f)
		if err != nil {
			return
		}
		l.pulse.sent(l.handlers.Now(), f.Beat || !f.empty())
		if err := l.socket.Write(ctx, websocket.MessageBinary, text); err != nil {
			return
		}
	}
}

func (l *Link) take() (*frame, due) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f, beat := l.next, l.beat
	l.next, l.beat = &frame{Version: version}, nothing

	return f, beat
}

// watch closes the link when it is silent.
func (l *Link) watch() {
	tick := time.NewTicker(beatCheck.Duration())
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-l.done:
			return
		}
		switch d := l.pulse.check(l.handlers.Now()); d {
		case nothing:
		case closeLink:
			l.silent()

			return
		default:
			l.mu.Lock()
			l.beat = d
			l.mu.Unlock()
			l.wake()
		}
	}
}

func (l *Link) silent() {
	if l.handlers.Silent != nil {
		l.handlers.Silent(l)
	}
	l.Close()
}

func (l *Link) read(ctx context.Context) {
	for {
		_, text, err := l.socket.Read(ctx)
		if err != nil {
			if errors.Is(err, websocket.ErrMessageTooBig) {
				l.garbled(err)
			}

			return
		}
		f, err := decode(text)
		if err != nil {
			l.garbled(err)

			return
		}
		l.pulse.heard(l.handlers.Now(), f.Beat || !f.empty())
		if err := l.deliver(f); err != nil {
			l.garbled(err)

			return
		}
	}
}

func (l *Link) garbled(err error) {
	if l.handlers.Garbled != nil {
		l.handlers.Garbled(l, err)
	}
}

func decode(text []byte) (*frame, error) {
	var f frame
	if err := cbor.Unmarshal(text, &f); err != nil {
		return nil, errors.Wrap(ErrFrame, err.Error())
	}

	return &f, nil
}

// deliver hands out the messages of a frame, or none of them when one cannot be used.
func (l *Link) deliver(f *frame) error {
	controls := make([]Control, 0, len(f.Controls))
	for _, m := range f.Controls {
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
	for _, m := range f.Holdings {
		l.handlers.Holding(l, m.holding(), m.Gone)
	}
	for _, m := range f.Handover {
		l.handlers.Handover(l, m.message())
	}
	for _, m := range f.Answers {
		l.handlers.Answer(m.ID, m.result())
	}
	for _, m := range f.Legs {
		l.handlers.Leg(l, m.ID, m.leg(now))
	}
	for _, id := range f.Cancels {
		l.handlers.Cancel(l, id, "")
	}
	for _, m := range f.Recalls {
		l.handlers.Cancel(l, m.ID, m.Upstream)
	}
	for _, m := range f.Outcomes {
		l.handlers.Outcome(m.ID, m.result())
	}
	for _, m := range f.Submits {
		l.handlers.Submit(l, m.ID, m.request(now))
	}
	for _, m := range f.Warnings {
		l.handlers.Warn(m.entry())
	}

	return nil
}
