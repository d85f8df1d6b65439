package ledger

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"time"

	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/ledger"
	"jacinthferry/core/leg"
	"jacinthferry/core/submit"
	"jacinthferry/io/store"
)

// Options are the dependencies and limits of a Ledger.
type Options struct {
	Now   func() clock.Milli
	Store store.Store
	// Owner must differ from that of every other daemon and of every earlier run of this one.
	Owner string
	// SendRequest sends a request to an upstream and returns the result. It is called from several
	// goroutines at the same time.
	SendRequest func(context.Context, submit.Request) leg.Result
	// Record receives an event for each refused request.
	Record     func(event.Event)
	PageConfig ledger.Config
}

// message is an event that the goroutine of Run handles.
type message interface{ apply(*Ledger) }

// Ledger runs the ledger pages that are in use on one daemon.
type Ledger struct {
	options        Options
	ctx            context.Context
	messages       chan message
	pages          map[string]*page
	waiters        map[uint64]waiter
	lastPageNumber uint64
	lastWaiterID   uint64
}

// page is the state machine of a page with the data that its actions need.
type page struct {
	key      string
	state    *ledger.Page
	lease    string
	lastUsed clock.Milli
}

type waiter struct {
	request submit.Request
	respond func(leg.Result)
}

// Limits of the goroutine of Run.
const (
	messageBuffer = 1024
	// idleTimeout is how long an unused page is kept in memory, and sweepInterval the time between
	// two checks for such pages.
	idleTimeout   = 30 * clock.Second
	sweepInterval = 10 * time.Second
)

// New returns a Ledger without pages. It handles requests while Run runs, until ctx is cancelled.
func New(ctx context.Context, options Options) *Ledger {
	return &Ledger{
		options: options, ctx: ctx, messages: make(chan message, messageBuffer), pages: make(map[string]*page),
		waiters: make(map[uint64]waiter),
	}
}

// Run handles messages until the context given to New is cancelled.
func (l *Ledger) Run() {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case m := <-l.messages:
			m.apply(l)
		case <-sweep.C:
			l.removeIdlePages()
		case <-l.ctx.Done():
			return
		}
	}
}

func (l *Ledger) enqueue(m message) {
	select {
	case l.messages <- m:
	case <-l.ctx.Done():
	}
}

// Submit runs a request unless its id was used before. It calls respond once with the result, on the
// goroutine of Run, unless the context is cancelled first. It is safe for concurrent use.
func (l *Ledger) Submit(r submit.Request, respond func(leg.Result)) {
	l.enqueue(submitMessage{r, respond})
}

// removeIdlePages removes pages from memory that have been idle for longer than idleTimeout.
func (l *Ledger) removeIdlePages() {
	now := l.options.Now()
	for key, p := range l.pages {
		if p.state.Idle() && now-p.lastUsed > idleTimeout {
			delete(l.pages, key)
		}
	}
}

// submitMessage carries a submitted request.
type submitMessage struct {
	request submit.Request
	respond func(leg.Result)
}

func (m submitMessage) apply(l *Ledger) {
	now := l.options.Now()
	if refusal := ledger.CheckID(m.request.ID, now); refusal != nil {
		l.respond(waiter(m), leg.Result{Refusal: refusal})

		return
	}
	p := l.page(ledger.PageKey(m.request.ID))
	p.lastUsed = now
	l.lastWaiterID++
	l.waiters[l.lastWaiterID] = waiter(m)
	l.execute(p, p.state.HandleSubmit(now, ledger.Request{
		WaiterID: l.lastWaiterID, ID: m.request.ID, RequestHash: requestHash(m.request),
		Deadline: m.request.Deadline, Resend: m.request.Resend,
	}))
}

// page returns the page with the given key and creates it if necessary.
func (l *Ledger) page(key string) *page {
	p := l.pages[key]
	if p == nil {
		l.lastPageNumber++
		owner := l.options.Owner + "/" + strconv.FormatUint(l.lastPageNumber, 10)
		p = &page{key: key, state: ledger.NewPage(owner, l.options.PageConfig)}
		l.pages[key] = p
	}

	return p
}

// hashBytes is the number of bytes that are kept of the hash of a request.
const hashBytes = 16

// requestHash returns a hash that distinguishes a resend from another request with the same id.
func requestHash(r submit.Request) string {
	h := sha256.Sum256([]byte(strconv.Itoa(len(r.Service)) + ":" + r.Service + r.Body))

	return hex.EncodeToString(h[:hashBytes])
}

// execute executes the actions of a page.
func (l *Ledger) execute(p *page, actions []ledger.Action) {
	for _, a := range actions {
		switch a.Kind {
		case ledger.Load:
			go l.load(p)
		case ledger.Write:
			go l.write(p, p.lease, a)
		case ledger.Run:
			l.runRequest(p, a)
		case ledger.Reply:
			w := l.waiters[a.WaiterID]
			delete(l.waiters, a.WaiterID)
			l.respond(w, a.Result)
		case ledger.SetTimer:
			time.AfterFunc((a.At - l.options.Now()).Duration(), func() { l.enqueue(timerMessage{p, a.At}) })
		}
	}
}

func (l *Ledger) runRequest(p *page, a ledger.Action) {
	r := l.waiters[a.WaiterID].request
	r.Deadline = a.Deadline
	go func() { l.enqueue(resultMessage{p, a.ID, l.options.SendRequest(l.ctx, r)}) }()
}

func (l *Ledger) respond(w waiter, r leg.Result) {
	if r.Refusal != nil {
		l.options.Record(event.Event{
			Kind: event.Ledger, Reason: r.Refusal.Reason, Service: w.request.Service, Request: w.request.ID,
			Detail: "run " + string(r.Refusal.Run),
		})
	}
	w.respond(r)
}

// timerMessage reports that a page's timer has fired. A timer may fire slightly early, and the state
// machine must not take it for an earlier timer.
type timerMessage struct {
	page *page
	at   clock.Milli
}

func (m timerMessage) apply(l *Ledger) {
	l.execute(m.page, m.page.state.HandleTimeout(max(m.at, l.options.Now())))
}

// resultMessage carries the result of a request that was sent to an upstream.
type resultMessage struct {
	page   *page
	id     string
	result leg.Result
}

func (m resultMessage) apply(l *Ledger) {
	now := l.options.Now()
	m.page.lastUsed = now
	l.execute(m.page, m.page.state.HandleResult(now, m.id, m.result))
}
