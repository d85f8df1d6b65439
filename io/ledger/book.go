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
	"jacinthferry/core/reason"
	"jacinthferry/core/submit"
	"jacinthferry/io/store"
)

// Ports are what the book needs from the rest of the daemon.
type Ports struct {
	Now   func() clock.Milli
	Store store.Store
	// Owner must be unlike that of every other daemon and of every earlier run of this one.
	Owner string
	// Run sends a request to an upstream.
	Run func(context.Context, submit.Request) leg.Result
	// Record takes the decisions that callers or operators can feel.
	Record func(event.Event)
	Limits ledger.Limits
}

// message is one thing told to the book's thread.
type message interface{ apply(*Book) }

// Book holds the pages of one daemon.
type Book struct {
	ports   Ports
	ctx     context.Context
	box     chan message
	pages   map[string]*page
	waiting map[uint64]waiting
	machine uint64
	ticket  uint64
}

// page is a machine with what its shell needs.
type page struct {
	key      string
	machine  *ledger.Page
	requests map[string]submit.Request
	lease    string
	used     clock.Milli
}

type waiting struct {
	request submit.Request
	respond func(leg.Result)
}

// Limits of the book's thread.
const (
	boxSize = 1024
	// idleLimit is how long a page is kept that nobody uses, and sweepWait the time between two
	// looks for such pages.
	idleLimit = 30 * clock.Second
	sweepWait = 10 * time.Second
)

// New returns a book. Run runs it.
func New(ctx context.Context, ports Ports) *Book {
	return &Book{
		ports: ports, ctx: ctx, box: make(chan message, boxSize), pages: make(map[string]*page),
		waiting: make(map[uint64]waiting),
	}
}

// Run runs the book's thread until its context ends.
func (b *Book) Run() {
	sweep := time.NewTicker(sweepWait)
	defer sweep.Stop()
	for {
		select {
		case m := <-b.box:
			m.apply(b)
		case <-sweep.C:
			b.sweep()
		case <-b.ctx.Done():
			return
		}
	}
}

func (b *Book) post(m message) {
	select {
	case b.box <- m:
	case <-b.ctx.Done():
	}
}

// Submit runs a request unless its id was used before. It calls respond once.
func (b *Book) Submit(r submit.Request, respond func(leg.Result)) {
	b.post(submitted{r, respond})
}

// sweep lets go of pages that nobody uses.
func (b *Book) sweep() {
	now := b.ports.Now()
	for key, p := range b.pages {
		if p.machine.Idle() && now-p.used > idleLimit {
			delete(b.pages, key)
		}
	}
}

// submitted brings a request.
type submitted struct {
	request submit.Request
	respond func(leg.Result)
}

func (e submitted) apply(b *Book) {
	now := b.ports.Now()
	if refusal := ledger.Accept(e.request.ID, now); refusal != nil {
		b.respond(waiting(e), leg.Result{Refusal: refusal})

		return
	}
	p := b.page(ledger.Key(e.request.ID))
	p.used = now
	b.ticket++
	b.waiting[b.ticket] = waiting(e)
	if _, known := p.requests[e.request.ID]; !known {
		p.requests[e.request.ID] = e.request
	}
	b.do(p, p.machine.Submit(now, ledger.Request{
		Ticket: b.ticket, ID: e.request.ID, Sum: sum(e.request), Deadline: e.request.Deadline, Resend: e.request.Resend,
	}))
}

// page returns the page under key.
func (b *Book) page(key string) *page {
	p := b.pages[key]
	if p == nil {
		b.machine++
		owner := b.ports.Owner + "/" + strconv.FormatUint(b.machine, 10)
		p = &page{
			key: key, machine: ledger.New(owner, b.ports.Limits), requests: make(map[string]submit.Request),
		}
		b.pages[key] = p
	}

	return p
}

// sumBytes is how much of the hash of a request is kept.
const sumBytes = 16

// sum tells a resend from another request under the same id.
func sum(r submit.Request) string {
	h := sha256.Sum256([]byte(strconv.Itoa(len(r.Service)) + ":" + r.Service + r.Body))

	return hex.EncodeToString(h[:sumBytes])
}

// do carries out what a page wants done.
func (b *Book) do(p *page, actions []ledger.Action) {
	for _, a := range actions {
		switch a.Kind {
		case ledger.Load:
			go b.load(p)
		case ledger.Write:
			go b.write(p, p.lease, a)
		case ledger.Run:
			b.run(p, a)
		case ledger.Reply:
			w := b.waiting[a.Ticket]
			delete(b.waiting, a.Ticket)
			b.respond(w, a.Result)
		case ledger.Wake:
			time.AfterFunc((a.At - b.ports.Now()).Duration(), func() { b.post(due{p, a.At}) })
		}
	}
}

func (b *Book) run(p *page, a ledger.Action) {
	r := p.requests[a.ID]
	r.Deadline = a.Deadline
	go func() { b.post(ran{p, a.ID, b.ports.Run(b.ctx, r)}) }()
}

func (b *Book) respond(w waiting, r leg.Result) {
	if r.Refusal != nil {
		b.ports.Record(event.Event{
			Kind: event.Ledger, Reason: r.Refusal.Reason, Service: w.request.Service, Request: w.request.ID,
			Detail: "run " + string(r.Refusal.Run),
		})
	}
	w.respond(r)
}

// due is the instant of a wake. A timer may fire a little early, and the machine must not take it
// for one of an earlier wake.
type due struct {
	page *page
	at   clock.Milli
}

func (e due) apply(b *Book) { b.do(e.page, e.page.machine.Due(max(e.at, b.ports.Now()))) }

// ran brings the result of a request that was sent to an upstream.
type ran struct {
	page   *page
	id     string
	result leg.Result
}

func (e ran) apply(b *Book) {
	now := b.ports.Now()
	e.page.used = now
	if e.result.Refusal == nil || e.result.Refusal.Run != reason.NotExecuted {
		delete(e.page.requests, e.id)
	}
	b.do(e.page, e.page.machine.Ran(now, e.id, e.result))
}
