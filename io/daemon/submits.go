package daemon

import (
	"context"
	"sync"

	"jacinthferry/core/clock"
	coreledger "jacinthferry/core/ledger"
	"jacinthferry/core/leg"
	"jacinthferry/core/place"
	"jacinthferry/core/reason"
	"jacinthferry/core/submit"
	"jacinthferry/io/ledger"
	"jacinthferry/io/peer"
)

// Size and write intervals of ledger pages.
const (
	maxEntries    = 1000
	writeInterval = 64 * clock.Millisecond
	retryInterval = 100 * clock.Millisecond
)

// submits forwards non-idempotent requests to the daemon that owns their ledger page, so that many
// of them share a write. Any daemon may handle any page: ownership does not matter for safety.
type submits struct {
	ledger    *ledger.Ledger
	mu        sync.Mutex
	seq       uint64
	forwarded map[uint64]forwardedSubmit
}

type forwardedSubmit struct {
	to      string
	request submit.Request
	respond func(leg.Result)
}

func newSubmits(l *ledger.Ledger) *submits {
	return &submits{ledger: l, forwarded: make(map[uint64]forwardedSubmit)}
}

// ledgerOptions returns the dependencies and limits of the ledger.
func (d *Daemon) ledgerOptions() ledger.Options {
	return ledger.Options{
		Now: d.now, Store: d.store, Owner: d.settings.Name + "-" + newID(), SendRequest: d.group.Submit,
		Record:     d.journal.Record,
		PageConfig: coreledger.Config{MaxEntries: maxEntries, MinWriteInterval: writeInterval, RetryInterval: retryInterval},
	}
}

// submit runs a request unless its ID was used before. The error is a *reason.Refusal.
func (d *Daemon) submit(ctx context.Context, r submit.Request) (string, error) {
	<-d.initialised
	results := make(chan leg.Result, 1)
	owner := d.pageOwner(r.ID)
	link := d.links.dialledLink(owner)
	if owner == d.settings.Name || link == nil {
		d.submits.ledger.Submit(r, func(result leg.Result) { results <- result })
	} else {
		d.submits.forward(link, r, func(result leg.Result) { results <- result })
	}
	select {
	case result := <-results:
		if result.Refusal != nil {
			return "", result.Refusal
		}

		return string(result.Answer.Body), nil
	case <-ctx.Done():
		return "", reason.NewRefusal(reason.Cancelled, reason.ExecutionUnknown, "the caller cancelled the request")
	}
}

func (d *Daemon) pageOwner(id string) string {
	members := d.control.Entries("")
	places := make([]place.Member, 0, len(members))
	for _, m := range members {
		places = append(places, place.Member{Name: m.Name})
	}

	return place.Home(coreledger.PageKey(id), "", places)
}

func (s *submits) forward(to *peer.Link, r submit.Request, respond func(leg.Result)) {
	s.mu.Lock()
	s.seq++
	id := s.seq
	s.forwarded[id] = forwardedSubmit{to.Name, r, respond}
	s.mu.Unlock()
	to.Submit(id, r)
}

func (s *submits) handleOutcome(id uint64, r leg.Result) {
	s.mu.Lock()
	h, ok := s.forwarded[id]
	delete(s.forwarded, id)
	s.mu.Unlock()
	if ok {
		h.respond(r)
	}
}

// resubmit submits the requests that were forwarded to a daemon whose link closed again here, as
// resends: the store tells whether that daemon began them.
func (s *submits) resubmit(name string) {
	s.mu.Lock()
	var back []forwardedSubmit
	for id, h := range s.forwarded {
		if h.to == name {
			back = append(back, h)
			delete(s.forwarded, id)
		}
	}
	s.mu.Unlock()
	for _, h := range back {
		h.request.Resend = true
		s.ledger.Submit(h.request, h.respond)
	}
}
