package ledger

import (
	"encoding/json"

	"jacinthferry/core/ledger"
	"jacinthferry/core/reason"

	"github.com/pkg/errors"
)

// ErrPage is returned for a value in the store that is not a page.
var ErrPage = errors.New("ledger: not a page")

// pageValue is a page as the store holds it.
type pageValue struct {
	Entries []entryValue `json:"entries"`
}

type entryValue struct {
	ID      string      `json:"id"`
	Sum     string      `json:"sum"`
	Owner   string      `json:"owner"`
	Done    bool        `json:"done,omitempty"`
	Outcome string      `json:"outcome,omitempty"`
	Reason  reason.Code `json:"reason,omitempty"`
}

func encode(entries []ledger.Entry) (string, error) {
	v := pageValue{Entries: make([]entryValue, 0, len(entries))}
	for _, e := range entries {
		v.Entries = append(v.Entries, entryValue(e))
	}
	text, err := json.Marshal(v)

	return string(text), errors.Wrap(err, "ledger: cannot encode a page")
}

func decode(text string) ([]ledger.Entry, error) {
	var v pageValue
	if err := json.Unmarshal([]byte(text), &v); err != nil {
		return nil, errors.Wrap(ErrPage, err.Error())
	}
	entries := make([]ledger.Entry, 0, len(v.Entries))
	for _, e := range v.Entries {
		entries = append(entries, ledger.Entry(e))
	}

	return entries, nil
}

// load reads a page. A value that is not a page counts as unread, so that nothing in it runs.
func (b *Book) load(p *page) {
	found, err := b.ports.Store.Get(b.ctx, p.key)
	if err != nil || found.Revision == 0 {
		b.post(loaded{page: p, err: err})

		return
	}
	entries, err := decode(found.Value)
	b.post(loaded{p, entries, found.Revision, err})
}

// loaded brings a page as the store holds it.
type loaded struct {
	page     *page
	entries  []ledger.Entry
	revision int64
	err      error
}

func (e loaded) apply(b *Book) {
	if e.err != nil {
		b.do(e.page, e.page.machine.LoadFailed(b.ports.Now()))

		return
	}
	b.do(e.page, e.page.machine.Loaded(b.ports.Now(), e.entries, e.revision))
}

// write writes a page under a lease that ends when all its ids have expired, so that the store
// itself takes old pages away.
func (b *Book) write(p *page, lease string, a ledger.Action) {
	text, err := encode(a.Entries)
	if err == nil && lease == "" {
		lease, err = b.grant(p.key)
	}
	if err != nil {
		b.post(wrote{page: p, err: err})

		return
	}
	w, err := b.ports.Store.Put(b.ctx, p.key, text, a.Expect, lease)
	b.post(wrote{p, lease, w.Applied, w.Revision, err})
}

func (b *Book) grant(key string) (string, error) {
	l, err := b.ports.Store.Grant(b.ctx, ledger.Keep(key, b.ports.Now()))

	return l.ID, err
}

// wrote brings the outcome of a write.
type wrote struct {
	page     *page
	lease    string
	done     bool
	revision int64
	err      error
}

func (e wrote) apply(b *Book) {
	now := b.ports.Now()
	e.page.lease = e.lease
	if e.err != nil {
		// The lease may be what failed; the next write takes a new one.
		e.page.lease = ""
	}
	if e.err == nil && e.done {
		b.do(e.page, e.page.machine.Written(now, e.revision))

		return
	}
	b.do(e.page, e.page.machine.WriteFailed(now, e.err == nil))
}
