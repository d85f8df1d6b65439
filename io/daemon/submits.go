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

// Limits of ledger pages.
const (
	pageEntries  = 1000
	pageInterval = 64 * clock.Millisecond
	pageRetry    = 100 * clock.Millisecond
)

// submits hands non-idempotent requests to the daemon that owns their ledger page, so that many of
// them share a write. Any daemon may handle any page: ownership does not matter for safety.
type submits struct {
	book *ledger.Ledger
	mu   sync.Mutex
	seq  uint64
	sent map[uint64]handed
}

type handed struct {
	to      string
	request submit.Request
	respond func(leg.Result)
}

func newSubmits(book *ledger.Ledger) *submits {
	return &submits{book: book, sent: make(map[uint64]handed)}
}

// ledgerPorts returns what the ledger needs.
func (d *Daemon) ledgerPorts() ledger.Options {
	return ledger.Options{
		Now: d.now, Store: d.store, Owner: d.settings.Name + "-" + newID(), SendRequest: d.group.Submit,
		Record:     d.journal.Record,
		PageConfig: coreledger.Config{MaxEntries: pageEntries, MinWriteInterval: pageInterval, RetryInterval: pageRetry},
	}
}

// submit runs a request unless its id was used before. The error is a *reason.Refusal.
func (d *Daemon) submit(ctx context.Context, r submit.Request) (string, error) {
	<-d.assembled
	results := make(chan leg.Result, 1)
	owner := d.pageOwner(r.ID)
	link := d.links.get(owner)
	if owner == d.settings.Name || link == nil {
		d.submits.book.Submit(r, func(result leg.Result) { results <- result })
	} else {
		d.submits.hand(link, r, func(result leg.Result) { results <- result })
	}
	select {
	case result := <-results:
		if result.Refusal != nil {
			return "", result.Refusal
		}

		return string(result.Answer.Body), nil
	case <-ctx.Done():
		return "", reason.NewRefusal(reason.Cancelled, reason.ExecutionUnknown, "the caller left")
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

func (s *submits) hand(to *peer.Conn, r submit.Request, respond func(leg.Result)) {
	s.mu.Lock()
	s.seq++
	id := s.seq
	s.sent[id] = handed{to.Name, r, respond}
	s.mu.Unlock()
	to.SendSubmit(id, r)
}

func (s *submits) outcome(id uint64, r leg.Result) {
	s.mu.Lock()
	h, ok := s.sent[id]
	delete(s.sent, id)
	s.mu.Unlock()
	if ok {
		h.respond(r)
	}
}

// lost takes the requests that were handed to a daemon whose link is gone back as resends: the
// store tells whether that daemon began them.
func (s *submits) lost(name string) {
	s.mu.Lock()
	var back []handed
	for id, h := range s.sent {
		if h.to == name {
			back = append(back, h)
			delete(s.sent, id)
		}
	}
	s.mu.Unlock()
	for _, h := range back {
		h.request.Resend = true
		s.book.Submit(h.request, h.respond)
	}
}
