package ledger

import (
	"encoding/json"

	"jacinthferry/core/ledger"
	"jacinthferry/core/reason"

	"github.com/pkg/errors"
)

// ErrInvalidPage is the error for a value in the store that is not a valid page.
var ErrInvalidPage = errors.New("ledger: invalid page")

// pageValue is the stored form of a page.
type pageValue struct {
	Entries []entryValue `json:"entries"`
}

type entryValue struct {
	ID          string      `json:"id"`
	RequestHash string      `json:"sum"`
	Owner       string      `json:"owner"`
	Done        bool        `json:"done,omitempty"`
	Outcome     string      `json:"outcome,omitempty"`
	Reason      reason.Code `json:"reason,omitempty"`
}

func encodePage(entries []ledger.Entry) (string, error) {
	v := pageValue{Entries: make([]entryValue, 0, len(entries))}
	for _, e := range entries {
		v.Entries = append(v.Entries, entryValue(e))
	}
	text, err := json.Marshal(v)

	return string(text), errors.Wrap(err, "ledger: cannot encode page")
}

func decodePage(text string) ([]ledger.Entry, error) {
	var v pageValue
	if err := json.Unmarshal([]byte(text), &v); err != nil {
		return nil, errors.Wrap(ErrInvalidPage, err.Error())
	}
	entries := make([]ledger.Entry, 0, len(v.Entries))
	for _, e := range v.Entries {
		entries = append(entries, ledger.Entry(e))
	}

	return entries, nil
}

// load reads a page. An invalid page counts as a failed read, so that none of its requests runs.
func (l *Ledger) load(p *page) {
	found, err := l.options.Store.Get(l.ctx, p.key)
	if err != nil || found.Revision == 0 {
		l.enqueue(loadMessage{page: p, err: err})

		return
	}
	entries, err := decodePage(found.Value)
	l.enqueue(loadMessage{p, entries, found.Revision, err})
}

// loadMessage carries the result of reading a page.
type loadMessage struct {
	page     *page
	entries  []ledger.Entry
	revision int64
	err      error
}

func (m loadMessage) apply(l *Ledger) {
	if m.err != nil {
		l.execute(m.page, m.page.state.HandleLoadFailure(l.options.Now()))

		return
	}
	l.execute(m.page, m.page.state.HandleLoaded(l.options.Now(), m.entries, m.revision))
}

// write writes a page under a lease that ends when all its ids have expired, so that the store itself
// deletes old pages.
func (l *Ledger) write(p *page, lease string, a ledger.Action) {
	text, err := encodePage(a.Entries)
	if err == nil && lease == "" {
		lease, err = l.grantLease(p.key)
	}
	if err != nil {
		l.enqueue(writeMessage{page: p, err: err})

		return
	}
	result, err := l.options.Store.Put(l.ctx, p.key, text, a.ExpectedRevision, lease)
	l.enqueue(writeMessage{p, lease, result.Applied, result.Revision, err})
}

func (l *Ledger) grantLease(key string) (string, error) {
	granted, err := l.options.Store.Grant(l.ctx, ledger.PageTTL(key, l.options.Now()))

	return granted.ID, err
}

// writeMessage carries the result of a write.
type writeMessage struct {
	page     *page
	lease    string
	applied  bool
	revision int64
	err      error
}

func (m writeMessage) apply(l *Ledger) {
	now := l.options.Now()
	m.page.lease = m.lease
	if m.err != nil {
		// The lease may have caused the error, so the next write uses a new one.
		m.page.lease = ""
	}
	if m.err == nil && m.applied {
		l.execute(m.page, m.page.state.HandleWritten(now, m.revision))

		return
	}
	l.execute(m.page, m.page.state.HandleWriteFailure(now, m.err == nil))
}
