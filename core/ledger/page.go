package ledger

import (
	"slices"

	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/reason"
)

// ActionKind is the type of an Action.
type ActionKind int

// The kinds of Action.
const (
	// Load reads the page from the store.
	Load ActionKind = iota
	// Write writes Entries to the page if the page is still at ExpectedRevision.
	Write
	// Run sends the request that the caller with the given WaiterID submitted to an upstream.
	Run
	// Reply returns Result to the waiting caller.
	Reply
	// SetTimer sets the timer, which the page must be told of at the time At.
	SetTimer
)

// Action is an operation that a page requests. Its kind determines which fields are set.
type Action struct {
	Kind             ActionKind
	Entries          []Entry
	ExpectedRevision int64
	ID               string
	// Deadline is the latest deadline of the callers that wait for the request to run.
	Deadline clock.Milli
	WaiterID uint64
	Result   leg.Result
	At       clock.Milli
}

// Config are the limits and intervals of a page.
type Config struct {
	// MaxEntries is the maximum number of ids in a page.
	MaxEntries int
	// MinWriteInterval is the minimum time between two writes of a page, so that many ids share one.
	MinWriteInterval clock.Milli
	// RetryInterval is the time between two attempts to reach the store, and between two reads of a page
	// for the outcome of an id that another state machine runs.
	RetryInterval clock.Milli
}

// Page is the state machine of one page. It is not safe for concurrent use.
type Page struct {
	owner   string
	limits  Config
	records map[string]*record
	// sorted holds the records sorted by id, so that the same events produce the same actions.
	sorted []*record
	// active holds the records that a caller waits for or that have to be written, by id.
	active  map[string]*record
	loaded  bool
	loading bool
	writing bool
	// batch holds the records that the write in progress adds or removes.
	batch    []*record
	revision int64
	// uncertainRevision is the revision that a write with unknown effect expected, or
	// noUncertainWrite.
	uncertainRevision int64
	// dirty is set while the store lacks something that this state machine knows.
	dirty     bool
	lastWrite clock.Milli
	retryAt   clock.Milli
	timerAt   clock.Milli
	actions   []Action
}

// noUncertainWrite means that every write of this state machine has taken effect or never will.
const noUncertainWrite int64 = -1

// NewPage returns the state machine of a page that has not been loaded. Owner must be unique among all
// state machines of all daemons at any time.
func NewPage(owner string, limits Config) *Page {
	return &Page{
		owner: owner, limits: limits, records: make(map[string]*record), active: make(map[string]*record),
		uncertainRevision: noUncertainWrite,
	}
}

// Idle reports whether no caller waits, no request runs and the store is up to date.
func (p *Page) Idle() bool {
	if p.loading || p.writing || p.dirty {
		return false
	}
	for _, r := range p.records {
		if r.phase == running {
			return false
		}
	}

	return len(p.active) == 0
}

// HandleSubmit handles the arrival of a request.
func (p *Page) HandleSubmit(now clock.Milli, request Request) []Action {
	p.actions = nil
	r := p.records[request.ID]
	if r == nil {
		if len(p.records) >= p.limits.MaxEntries {
			p.reply(request, leg.Refused(reason.Overload, request.executionIfNotStarted(), "too many requests in one minute"))

			return p.actions
		}
		r = &record{entry: Entry{ID: request.ID, RequestHash: request.RequestHash, Owner: p.owner}, phase: pending}
		p.insert(r)
	}
	r.waiting = append(r.waiting, request)
	p.active[request.ID] = r
	p.replyIfDecided(r)
	p.advance(now)

	return p.actions
}

// replyIfDecided replies to those requests waiting on r whose result is already known.
func (p *Page) replyIfDecided(r *record) {
	remaining := r.waiting[:0]
	for _, w := range r.waiting {
		switch {
		case w.RequestHash != r.entry.RequestHash:
			p.reply(w, leg.Refused(reason.Reused, reason.NotExecuted, "the id was used for a different request"))
		case r.phase == terminal && r.entry.Done:
			p.reply(w, r.entry.result())
		case r.phase == terminal:
			p.reply(
				w, leg.Refused(reason.Outcome, reason.ExecutionUnknown, "the request was sent once and its outcome is unknown"),
			)
		default:
			remaining = append(remaining, w)
		}
	}
	r.waiting = remaining
	if r.phase == notRun && len(remaining) > 0 {
		r.phase = pending
	}
}

// start runs a request whose id is now in the store, unless the deadline of every caller has passed.
func (p *Page) start(now clock.Milli, r *record) {
	if now >= r.latestDeadline() {
		r.phase, p.dirty = notRun, true
		p.refuseWaiting(r, reason.Deadline)

		return
	}
	r.phase = running
	p.actions = append(p.actions, Action{
		Kind: Run, ID: r.entry.ID, WaiterID: r.waiting[0].WaiterID, Deadline: r.latestDeadline(),
	})
}

// HandleResult handles the result of a request that this page had sent to an upstream.
func (p *Page) HandleResult(now clock.Milli, id string, result leg.Result) []Action {
	p.actions = nil
	r := p.records[id]
	if r == nil || r.phase != running {
		return nil
	}
	switch {
	case result.Refusal == nil:
		p.recordOutcome(r, result)
	case result.Refusal.Run == reason.Executed:
		r.entry.Done, r.entry.Reason, r.phase, p.dirty = true, result.Refusal.Reason, terminal, true
	case result.Refusal.Run == reason.NotExecuted:
		r.phase, p.dirty = notRun, true
		p.refuseWaiting(r, result.Refusal.Reason)
	default:
		r.phase = terminal
	}
	p.replyIfDecided(r)
	p.advance(now)

	return p.actions
}

// maxOutcomeBytes is the maximum size of an outcome that is recorded.
const maxOutcomeBytes = 512

// recordOutcome records the outcome of a successful request. An outcome that is too long is returned
// only to the callers waiting now; a resend learns only that the request ran.
func (p *Page) recordOutcome(r *record, result leg.Result) {
	r.entry.Done, r.entry.Outcome, r.phase, p.dirty = true, string(result.Answer.Body), terminal, true
	if len(r.entry.Outcome) <= maxOutcomeBytes {
		return
	}
	r.entry.Outcome, r.entry.Reason = "", reason.Size
	for _, w := range r.waiting {
		if w.RequestHash == r.entry.RequestHash {
			p.reply(w, result)
		}
	}
	r.waiting = slices.DeleteFunc(r.waiting, func(w Request) bool { return w.RequestHash == r.entry.RequestHash })
}

// HandleTimeout handles the expiry of the timer. A timer that has been replaced by a later request for one has
// no effect, so that timers cannot multiply.
func (p *Page) HandleTimeout(now clock.Milli) []Action {
	p.actions = nil
	if p.timerAt == 0 || now < p.timerAt {
		return nil
	}
	p.timerAt = 0
	p.advance(now)

	return p.actions
}

// advance fails requests whose deadline has passed and then reads or writes the page if necessary.
func (p *Page) advance(now clock.Milli) {
	write, reload := p.expire(now)
	write = write || p.dirty
	if p.loading || p.writing || !write && !reload {
		return
	}
	if now < p.retryAt {
		p.setTimer(p.retryAt)

		return
	}
	if !p.loaded {
		p.loading = true
		p.actions = append(p.actions, Action{Kind: Load})

		return
	}
	if write {
		p.writeAfter(now, p.lastWrite+p.limits.MinWriteInterval)

		return
	}
	// Another state machine may have written an outcome by now, so the page is read again. Pending
	// writes go first: two state machines that only read would wait for each other.
	p.loaded, p.retryAt = false, now+p.limits.RetryInterval
	p.setTimer(p.retryAt)
}

// expire replies to requests whose deadline has passed. It reports whether ids have to be written,
// and whether the page has to be read again for the outcome of another state machine.
func (p *Page) expire(now clock.Milli) (write, reload bool) {
	for _, id := range sortedIDs(p.active) {
		r := p.active[id]
		p.expireWaiting(now, r)
		if len(r.waiting) == 0 {
			p.deactivate(r)

			continue
		}
		p.setTimer(r.earliestDeadline())
		write = write || r.phase == pending
		reload = reload || r.phase == remote
	}

	return write, reload
}

// deactivate removes r from the active records. A request that is still pending never ran, and its
// phase becomes notRun.
func (p *Page) deactivate(r *record) {
	delete(p.active, r.entry.ID)
	if r.phase == pending {
		r.phase = notRun
		p.dirty = p.dirty || r.stored
	}
	p.removeIfUnused(r)
}

func (p *Page) expireWaiting(now clock.Milli, r *record) {
	remaining := r.waiting[:0]
	for _, w := range r.waiting {
		switch {
		case now < w.Deadline:
			remaining = append(remaining, w)
		case r.phase == pending && p.loaded:
			p.reply(w, leg.Refused(reason.Deadline, w.executionIfNotStarted(),
				"the request id was not written before the deadline"))
		case r.phase == pending:
			p.reply(w, leg.Refused(reason.Store, w.executionIfNotStarted(),
				"the platform's store did not answer before the deadline"))
		default:
			p.reply(w, leg.Refused(reason.Outcome, reason.ExecutionUnknown, "the request may still be running"))
		}
	}
	r.waiting = remaining
}

func (p *Page) writeAfter(now, at clock.Milli) {
	if now < at {
		p.setTimer(at)

		return
	}
	entries := make([]Entry, 0, len(p.sorted))
	for _, r := range p.sorted {
		r.included = r.phase != notRun && (!r.stored || r.phase == pending)
		if r.included || r.phase == notRun {
			p.batch = append(p.batch, r)
		}
		if r.phase != notRun {
			entries = append(entries, r.entry)
		}
	}
	p.writing, p.dirty, p.lastWrite = true, false, now
	p.actions = append(p.actions, Action{Kind: Write, Entries: entries, ExpectedRevision: p.revision})
}

func (p *Page) refuseWaiting(r *record, code reason.Code) {
	for _, w := range r.waiting {
		p.reply(w, leg.Refused(code, reason.NotExecuted, "the request was not run"))
	}
	r.waiting = nil
}

func (p *Page) reply(request Request, result leg.Result) {
	p.actions = append(p.actions, Action{Kind: Reply, WaiterID: request.WaiterID, ID: request.ID, Result: result})
}

// setTimer requests a timer unless an earlier one is set.
func (p *Page) setTimer(at clock.Milli) {
	if p.timerAt != 0 && p.timerAt <= at {
		return
	}
	p.timerAt = at
	p.actions = append(p.actions, Action{Kind: SetTimer, At: at})
}

// sortedIDs returns the ids in ascending order.
func sortedIDs(records map[string]*record) []string {
	list := make([]string, 0, len(records))
	for id := range records {
		list = append(list, id)
	}
	slices.Sort(list)

	return list
}
