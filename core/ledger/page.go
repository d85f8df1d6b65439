package ledger

import (
	"slices"

	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/reason"
)

// Kind tells actions apart.
type Kind int

// The kinds of Action.
const (
	// Load reads the page from the store.
	Load Kind = iota
	// Write writes Entries to the page if the page is still at Expect.
	Write
	// Run sends the request to an upstream.
	Run
	// Reply hands a waiting caller its result.
	Reply
	// Wake asks for Due to be called at an instant.
	Wake
)

// Action is one thing that a page wants done.
type Action struct {
	Kind    Kind
	Entries []Entry
	Expect  int64
	ID      string
	// Deadline is the last instant at which a caller waits for what is run.
	Deadline clock.Milli
	Ticket   uint64
	Result   leg.Result
	At       clock.Milli
}

// Limits bound a page.
type Limits struct {
	// Entries is how many ids a page holds at most.
	Entries int
	// Interval is the shortest time between two writes of a page, so that many ids share one.
	Interval clock.Milli
	// Retry is the time between two tries at the store, and between two looks at an id that
	// another machine runs.
	Retry clock.Milli
}

// Page is the machine of one page. Call New.
type Page struct {
	owner   string
	limits  Limits
	records map[string]*record
	// order holds the records in order of their ids, so that the same events give the same actions.
	order []*record
	// open holds the ids that somebody waits for or that have to be written.
	open    map[string]*record
	loaded  bool
	loading bool
	writing bool
	// batch holds the records that the write under way brings in or takes out.
	batch    []*record
	revision int64
	// unsure is the revision that a write expected whose effect is not known, or settledWrite.
	unsure int64
	// dirty is set while the store lacks something that this machine knows.
	dirty   bool
	written clock.Milli
	retryAt clock.Milli
	wake    clock.Milli
	actions []Action
}

// settledWrite says that every write of this machine has taken effect or never will.
const settledWrite int64 = -1

// New returns a page machine. Owner must be unlike that of every other machine, ever.
func New(owner string, limits Limits) *Page {
	return &Page{
		owner: owner, limits: limits, records: make(map[string]*record), open: make(map[string]*record), unsure: settledWrite,
	}
}

// Idle reports whether nothing waits, runs or is unwritten.
func (p *Page) Idle() bool {
	if p.loading || p.writing || p.dirty {
		return false
	}
	for _, r := range p.records {
		if r.phase == running {
			return false
		}
	}

	return len(p.open) == 0
}

// Submit takes a request.
func (p *Page) Submit(now clock.Milli, request Request) []Action {
	p.actions = nil
	r := p.records[request.ID]
	if r == nil {
		if len(p.records) >= p.limits.Entries {
			p.reply(request, leg.Refused(reason.Overload, request.unrun(), "too many requests in one minute"))

			return p.actions
		}
		r = &record{entry: Entry{ID: request.ID, Sum: request.Sum, Owner: p.owner}, phase: wanted}
		p.insert(r)
	}
	r.waiting = append(r.waiting, request)
	p.open[request.ID] = r
	p.serve(r)
	p.step(now)

	return p.actions
}

// serve replies to those that wait for r, as far as that can be told now.
func (p *Page) serve(r *record) {
	still := r.waiting[:0]
	for _, w := range r.waiting {
		switch {
		case w.Sum != r.entry.Sum:
			p.reply(w, leg.Refused(reason.Reused, reason.NotExecuted, "another request came under this id"))
		case r.phase == settled && r.entry.Done:
			p.reply(w, r.entry.result())
		case r.phase == settled:
			p.reply(w, leg.Refused(reason.Outcome, reason.ExecutionUnknown, "it was sent once and its outcome is not known"))
		default:
			still = append(still, w)
		}
	}
	r.waiting = still
	if r.phase == free && len(still) > 0 {
		r.phase = wanted
	}
}

// begin hands a request out to run, now that its id is in the store.
func (p *Page) begin(now clock.Milli, r *record) {
	if now >= r.latest() {
		r.phase, p.dirty = free, true
		p.refuse(r, reason.Deadline)

		return
	}
	r.phase = running
	p.actions = append(p.actions, Action{Kind: Run, ID: r.entry.ID, Deadline: r.latest()})
}

// Ran brings the result of a request that was handed out to run.
func (p *Page) Ran(now clock.Milli, id string, result leg.Result) []Action {
	p.actions = nil
	r := p.records[id]
	if r == nil || r.phase != running {
		return nil
	}
	switch {
	case result.Refusal == nil:
		p.answered(r, result)
	case result.Refusal.Run == reason.Executed:
		r.entry.Done, r.entry.Reason, r.phase, p.dirty = true, result.Refusal.Reason, settled, true
	case result.Refusal.Run == reason.NotExecuted:
		r.phase, p.dirty = free, true
		p.refuse(r, result.Refusal.Reason)
	default:
		r.phase = settled
	}
	p.serve(r)
	p.step(now)

	return p.actions
}

// outcomeLimit is the size of the longest outcome that is kept, in bytes.
const outcomeLimit = 512

// answered keeps an outcome. One that is too long goes to those who wait now, and a resend is told
// only that the request ran.
func (p *Page) answered(r *record, result leg.Result) {
	r.entry.Done, r.entry.Outcome, r.phase, p.dirty = true, string(result.Answer.Body), settled, true
	if len(r.entry.Outcome) <= outcomeLimit {
		return
	}
	r.entry.Outcome, r.entry.Reason = "", reason.Size
	for _, w := range r.waiting {
		if w.Sum == r.entry.Sum {
			p.reply(w, result)
		}
	}
	r.waiting = slices.DeleteFunc(r.waiting, func(w Request) bool { return w.Sum == r.entry.Sum })
}

// Due is called at the instant of a Wake. One that a later Wake replaced does nothing, so that
// wakes cannot multiply.
func (p *Page) Due(now clock.Milli) []Action {
	p.actions = nil
	if p.wake == 0 || now < p.wake {
		return nil
	}
	p.wake = 0
	p.step(now)

	return p.actions
}

// step gives up on those whose time ran out and then reads or writes the page if there is a reason.
func (p *Page) step(now clock.Milli) {
	write, look := p.expire(now)
	write = write || p.dirty
	if p.loading || p.writing || !write && !look {
		return
	}
	if now < p.retryAt {
		p.wakeAt(p.retryAt)

		return
	}
	if !p.loaded {
		p.loading = true
		p.actions = append(p.actions, Action{Kind: Load})

		return
	}
	if write {
		p.writeAfter(now, p.written+p.limits.Interval)

		return
	}
	// Another machine may have written an outcome by now. What is to be written goes first: two
	// machines that only looked would wait for each other.
	p.loaded, p.retryAt = false, now+p.limits.Retry
	p.wakeAt(p.retryAt)
}

// expire replies to those whose deadline has passed. It reports whether ids wait to be written, and
// whether some wait for another machine's word.
func (p *Page) expire(now clock.Milli) (write, look bool) {
	for _, id := range ordered(p.open) {
		r := p.open[id]
		p.expireWaiting(now, r)
		if len(r.waiting) == 0 {
			p.close(r)

			continue
		}
		p.wakeAt(r.earliest())
		write = write || r.phase == wanted
		look = look || r.phase == foreign
	}

	return write, look
}

// close stops waiting for r. One that was not begun by now stays free: it never ran.
func (p *Page) close(r *record) {
	delete(p.open, r.entry.ID)
	if r.phase == wanted {
		r.phase = free
		p.dirty = p.dirty || r.stored
	}
	p.forget(r)
}

func (p *Page) expireWaiting(now clock.Milli, r *record) {
	still := r.waiting[:0]
	for _, w := range r.waiting {
		switch {
		case now < w.Deadline:
			still = append(still, w)
		case r.phase == wanted && p.loaded:
			p.reply(w, leg.Refused(reason.Deadline, w.unrun(), "its id was not written in time"))
		case r.phase == wanted:
			p.reply(w, leg.Refused(reason.Store, w.unrun(), "the platform's store did not answer in time"))
		default:
			p.reply(w, leg.Refused(reason.Outcome, reason.ExecutionUnknown, "it may run still"))
		}
	}
	r.waiting = still
}

func (p *Page) writeAfter(now, at clock.Milli) {
	if now < at {
		p.wakeAt(at)

		return
	}
	entries := make([]Entry, 0, len(p.order))
	for _, r := range p.order {
		r.included = r.phase != free && (!r.stored || r.phase == wanted)
		if r.included || r.phase == free {
			p.batch = append(p.batch, r)
		}
		if r.phase != free {
			entries = append(entries, r.entry)
		}
	}
	p.writing, p.dirty, p.written = true, false, now
	p.actions = append(p.actions, Action{Kind: Write, Entries: entries, Expect: p.revision})
}

func (p *Page) refuse(r *record, word reason.Code) {
	for _, w := range r.waiting {
		p.reply(w, leg.Refused(word, reason.NotExecuted, "it was not run"))
	}
	r.waiting = nil
}

func (p *Page) reply(request Request, result leg.Result) {
	p.actions = append(p.actions, Action{Kind: Reply, Ticket: request.Ticket, ID: request.ID, Result: result})
}

// wakeAt asks for a wake unless one is due earlier.
func (p *Page) wakeAt(at clock.Milli) {
	if p.wake != 0 && p.wake <= at {
		return
	}
	p.wake = at
	p.actions = append(p.actions, Action{Kind: Wake, At: at})
}

// ordered returns the ids in order.
func ordered(records map[string]*record) []string {
	list := make([]string, 0, len(records))
	for id := range records {
		list = append(list, id)
	}
	slices.Sort(list)

	return list
}
