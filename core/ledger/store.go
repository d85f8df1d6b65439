package ledger

import (
	"slices"
	"strings"

	"jacinthferry/core/clock"
)

// HandleLoaded handles a successful read of the page. Revision is 0 if the store has no such page.
func (p *Page) HandleLoaded(now clock.Milli, entries []Entry, revision int64) []Action {
	p.actions = nil
	p.loading, p.loaded, p.revision = false, true, revision
	if p.uncertainRevision != noUncertainWrite && p.uncertainRevision != revision {
		p.uncertainRevision = noUncertainWrite
	}
	p.merge(now, entries)
	p.advance(now)

	return p.actions
}

// merge merges the store's entries into the records.
func (p *Page) merge(now clock.Milli, entries []Entry) {
	for _, r := range p.records {
		r.stored = false
	}
	for _, e := range entries {
		r := p.records[e.ID]
		if r == nil {
			r = &record{entry: Entry{ID: e.ID}, phase: remote}
			p.insert(r)
		}
		r.stored = true
		if e.Owner != p.owner {
			p.mergeRemote(r, e)
		}
	}
	for _, r := range slices.Clone(p.sorted) {
		p.reconcile(now, r)
	}
}

func (p *Page) insert(r *record) {
	p.records[r.entry.ID] = r
	at, _ := p.find(r.entry.ID)
	p.sorted = slices.Insert(p.sorted, at, r)
}

func (p *Page) remove(r *record) {
	delete(p.records, r.entry.ID)
	if at, found := p.find(r.entry.ID); found {
		p.sorted = slices.Delete(p.sorted, at, at+1)
	}
}

func (p *Page) find(id string) (int, bool) {
	return slices.BinarySearchFunc(p.sorted, id, func(r *record, id string) int {
		return strings.Compare(r.entry.ID, id)
	})
}

// reconcile updates a record after a change in whether the store holds its entry.
func (p *Page) reconcile(now clock.Milli, r *record) {
	switch {
	case r.phase == remote && !r.stored:
		// The state machine that wrote the entry removed it, because the request was not run.
		r.entry.Owner, r.phase = p.owner, notRun
		if len(r.waiting) > 0 {
			r.phase = pending
		}
	case r.phase == pending && r.stored && p.uncertainRevision == noUncertainWrite:
		p.start(now, r)
	case r.phase == notRun && r.stored:
		p.dirty = true
	}
	p.removeIfUnused(r)
}

// removeIfUnused removes a record that did not run, that no caller waits for and that is neither in
// the store nor in the write in progress.
func (p *Page) removeIfUnused(r *record) {
	if r.phase == notRun && !r.stored && !r.included && len(r.waiting) == 0 {
		p.remove(r)
	}
}

// mergeRemote takes over an entry that another state machine wrote before this one could.
func (p *Page) mergeRemote(r *record, e Entry) {
	if r.phase == running || r.phase == terminal && r.entry.Owner == p.owner {
		return
	}
	r.entry, r.phase = e, remote
	if e.Done {
		r.phase = terminal
	}
	p.replyIfDecided(r)
}

// HandleLoadFailure handles a failed read of the page. The read is repeated after the retry interval.
func (p *Page) HandleLoadFailure(now clock.Milli) []Action {
	p.actions = nil
	p.loading = false
	p.retryAt = now + p.limits.RetryInterval
	p.advance(now)

	return p.actions
}

// HandleWritten handles a write that took effect. Revision is the new revision of the page.
func (p *Page) HandleWritten(now clock.Milli, revision int64) []Action {
	p.actions = nil
	p.writing, p.revision, p.uncertainRevision = false, revision, noUncertainWrite
	for _, r := range p.batch {
		r.stored, r.included = r.included, false
		p.reconcile(now, r)
	}
	p.batch = p.batch[:0]
	p.advance(now)

	return p.actions
}

// HandleWriteFailure handles a write that did not take effect because the page had changed (conflict), or
// whose effect is unknown. In both cases the page is read again: an entry that has this state
// machine as its owner was written after all, and a missing one is written again, expecting the
// revision read, so that a write still in flight can no longer take effect as well.
func (p *Page) HandleWriteFailure(now clock.Milli, conflict bool) []Action {
	p.actions = nil
	p.writing, p.loaded, p.dirty = false, false, true
	if !conflict {
		p.uncertainRevision = p.revision
	}
	for _, r := range p.batch {
		r.included = false
	}
	p.batch = p.batch[:0]
	if !conflict {
		p.retryAt = now + p.limits.RetryInterval
	}
	p.advance(now)

	return p.actions
}
