package control

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"jacinthferry/core/manifest"
	"jacinthferry/core/reason"
	"jacinthferry/io/store"
)

// The keys under which the store holds the configuration.
const (
	// HeadKey is the one value that a change overwrites.
	HeadKey = "config/head"
	// PartPrefix begins the keys of parts, and pagePrefix those of pages of history.
	PartPrefix = "config/part/"
	pagePrefix = "config/history/"
)

// pagesKept is how many pages of history stay in the store.
const maxHistoryPages = 2000

// repository reads and writes the configuration in the store.
type repository struct{ store store.Store }

// errMoved says that a part is gone because a later revision took the place of the head read.
var errHeadReplaced = errors.New("control: the head moved on")

// head returns the head, or false when there is none.
func (r repository) head(ctx context.Context) (manifest.Head, bool, error) {
	entry, err := r.store.Get(ctx, HeadKey)
	if err != nil || entry.Revision == 0 {
		return manifest.Head{}, false, err
	}
	head, err := manifest.DecodeHead(entry.Value, entry.Revision)

	return head, err == nil, err
}

// join reads the parts of head that known lacks.
func (r repository) join(
	ctx context.Context, head manifest.Head, known *manifest.Snapshot,
) (*manifest.Snapshot, error) {
	read := make(map[string]string)
	for _, name := range head.Parts {
		if known.Part(name) != "" {
			continue
		}
		entry, err := r.store.Get(ctx, PartPrefix+name)
		if err != nil {
			return nil, err
		}
		if entry.Revision == 0 {
			return nil, errors.Wrap(errHeadReplaced, name)
		}
		read[name] = entry.Value
	}

	return manifest.Join(head, func(name string) string { return read[name] }, known)
}

// load reads the newest revision, or nil when there is none.
func (r repository) load(ctx context.Context, known *manifest.Snapshot) (*manifest.Snapshot, error) {
	for {
		head, found, err := r.head(ctx)
		if err != nil || !found {
			return nil, err
		}
		s, err := r.join(ctx, head, known)
		if !errors.Is(err, errHeadReplaced) || ctx.Err() != nil {
			return s, err
		}
	}
}

// prepare writes the parts of next that old lacks, and a page of history when one is full.
func (r repository) prepare(ctx context.Context, old, next *manifest.Snapshot) (*manifest.Snapshot, error) {
	for _, name := range next.Head.Parts {
		if old.Part(name) != "" {
			continue
		}
		if _, err := r.store.Put(ctx, PartPrefix+name, next.Part(name), store.Any, ""); err != nil {
			return nil, err
		}
	}
	next, page := next.WithoutPage()
	if page == nil {
		return next, nil
	}
	text, err := json.Marshal(page)
	if err != nil {
		return nil, errors.Wrap(err, "control: cannot encode a page of history")
	}
	_, err = r.store.Put(ctx, pageKey(next.Head.Pages), string(text), store.Any, "")

	return next, err
}

// accept switches the head from old to next. Next is accepted when the error is nil. A lost answer
// is cleared up by trying again: the store lets the attempt through once at most, and the nonce
// tells whether it did.
func (r repository) accept(ctx context.Context, old, next *manifest.Snapshot) (*manifest.Snapshot, error) {
	text, err := next.Head.Encode()
	if err != nil {
		return nil, err
	}
	uncertain := false
	for attempt := 0; ; attempt++ {
		w, err := r.store.Put(ctx, HeadKey, text, old.Revision(), "")
		if err == nil && w.Done {
			return next.WithRevision(w.Revision), nil
		}
		if err == nil {
			return r.resolveConflict(next, w.Current, uncertain)
		}
		uncertain = uncertain || executionOf(err) != reason.No
		if !sleep(ctx, backoff(attempt)) || ctx.Err() != nil {
			return nil, storeRefusal(err, uncertain)
		}
	}
}

// lost finds out whether an attempt whose answers were lost took effect after all.
func (r repository) resolveConflict(next *manifest.Snapshot, current store.Entry, uncertain bool) (*manifest.Snapshot, error) {
	head, err := manifest.DecodeHead(current.Value, current.Revision)
	if err != nil {
		execution := reason.No
		if uncertain {
			execution = reason.Unknown
		}

		return nil, reason.New(reason.Store, execution, "the head in the store cannot be read")
	}
	if head.Nonce == next.Head.Nonce {
		return next.WithRevision(current.Revision), nil
	}
	for _, past := range head.Recent {
		if past.Nonce == next.Head.Nonce {
			return next.WithRevision(past.Revision), nil
		}
	}

	return nil, conflictRefusal(head.Record)
}

// conflict says who won.
func conflictRefusal(r manifest.Record) *reason.Refusal {
	return reason.New(reason.Conflict, reason.No,
		fmt.Sprintf("revision %d by %q came first (%s)", r.Revision, r.Who, r.Note))
}

// withdraw removes the parts of an attempt that lost.
func (r repository) discard(ctx context.Context, old, lost *manifest.Snapshot) {
	for _, name := range lost.Head.Parts {
		if old.Part(name) == "" {
			_, _ = r.store.Delete(ctx, PartPrefix+name, store.Any)
		}
	}
}

// collect removes the parts of old that next does not use, and a page of history that is too old.
func (r repository) collectGarbage(ctx context.Context, old, next *manifest.Snapshot) {
	if old != nil {
		for _, name := range old.Head.Parts {
			if next.Part(name) == "" {
				_, _ = r.store.Delete(ctx, PartPrefix+name, store.Any)
			}
		}
	}
	if expired := next.Head.Pages - maxHistoryPages; expired > 0 && pageCount(old) != next.Head.Pages {
		_, _ = r.store.Delete(ctx, pageKey(expired), store.Any)
	}
}

// history returns up to limit changes, newest first.
func (r repository) history(ctx context.Context, limit int) ([]manifest.Record, error) {
	head, found, err := r.head(ctx)
	if err != nil || !found {
		return nil, err
	}
	list := append([]manifest.Record{head.Record}, head.Recent...)
	for page := head.Pages; page > 0 && page > head.Pages-maxHistoryPages && len(list) < limit; page-- {
		entry, err := r.store.Get(ctx, pageKey(page))
		if err != nil {
			return nil, err
		}
		var older []manifest.Record
		if err := json.Unmarshal([]byte(entry.Value), &older); err != nil {
			return nil, errors.Wrapf(manifest.ErrManifest, "page %d of history", page)
		}
		list = append(list, older...)
	}

	return list[:min(len(list), limit)], nil
}

func pageCount(s *manifest.Snapshot) int {
	if s == nil {
		return 0
	}

	return s.Head.Pages
}

func pageKey(page int) string { return fmt.Sprintf("%s%08d", pagePrefix, page) }

// outcome returns whether a failed call took effect.
func executionOf(err error) reason.Run {
	var r *reason.Refusal
	if errors.As(err, &r) {
		return r.Run
	}

	return reason.Unknown
}

// unreachable turns an error of the store into what an operator is told.
func storeRefusal(err error, uncertain bool) *reason.Refusal {
	execution := reason.No
	if uncertain {
		execution = reason.Unknown
	}

	return reason.New(reason.Store, execution, "the platform's store: "+err.Error())
}
