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

// The keys of the configuration in the store.
const (
	// HeadKey is the key of the head, the only value that a change overwrites.
	HeadKey = "config/head"
	// PartPrefix is the prefix of the keys of parts, and pagePrefix of those of history pages.
	PartPrefix = "config/part/"
	pagePrefix = "config/history/"
)

// maxHistoryPages is the maximum number of history pages in the store.
const maxHistoryPages = 2000

// repository reads and writes the configuration in the store.
type repository struct{ store store.Store }

// errHeadReplaced means that a part has been removed because a later revision replaced the head that
// was read.
var errHeadReplaced = errors.New("control: a later revision replaced the head")

// head returns the head, or false if there is none.
func (r repository) head(ctx context.Context) (manifest.Head, bool, error) {
	entry, err := r.store.Get(ctx, HeadKey)
	if err != nil || entry.Revision == 0 {
		return manifest.Head{}, false, err
	}
	head, err := manifest.DecodeHead(entry.Value, entry.Revision)

	return head, err == nil, err
}

// join reads the parts of head that known lacks, and returns the whole snapshot.
func (r repository) join(
	ctx context.Context, head manifest.Head, known *manifest.Snapshot,
) (*manifest.Snapshot, error) {
	read := make(map[string]string)
	for _, name := range head.PartNames {
		if known.PartText(name) != "" {
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

// load reads the newest revision. It returns nil if there is none.
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

// prepare writes the parts of next that old lacks, and a history page when one is full.
func (r repository) prepare(ctx context.Context, old, next *manifest.Snapshot) (*manifest.Snapshot, error) {
	for _, name := range next.Head.PartNames {
		if old.PartText(name) != "" {
			continue
		}
		if _, err := r.store.Put(ctx, PartPrefix+name, next.PartText(name), store.Any, ""); err != nil {
			return nil, err
		}
	}
	next, page := next.ExtractPage()
	if page == nil {
		return next, nil
	}
	text, err := json.Marshal(page)
	if err != nil {
		return nil, errors.Wrap(err, "control: cannot encode a history page")
	}
	_, err = r.store.Put(ctx, pageKey(next.Head.PageCount), string(text), store.Any, "")

	return next, err
}

// accept replaces the head of old by that of next. next is accepted if the error is nil. If a
// response is lost, it tries again: the store applies the write at most once, and the nonce tells
// whether it did.
func (r repository) accept(ctx context.Context, old, next *manifest.Snapshot) (*manifest.Snapshot, error) {
	text, err := next.Head.Encode()
	if err != nil {
		return nil, err
	}
	uncertain := false
	for attempt := 0; ; attempt++ {
		w, err := r.store.Put(ctx, HeadKey, text, old.Revision(), "")
		if err == nil && w.Applied {
			return next.WithRevision(w.Revision), nil
		}
		if err == nil {
			return r.resolveConflict(next, w.Current, uncertain)
		}
		uncertain = uncertain || executionOf(err) != reason.NotExecuted
		if !sleep(ctx, backoff(attempt)) || ctx.Err() != nil {
			return nil, storeRefusal(err, uncertain)
		}
	}
}

// resolveConflict finds out, after a failed compare-and-swap, whether an earlier attempt whose response
// was lost took effect.
func (r repository) resolveConflict(
	next *manifest.Snapshot, current store.Entry, uncertain bool,
) (*manifest.Snapshot, error) {
	head, err := manifest.DecodeHead(current.Value, current.Revision)
	if err != nil {
		execution := reason.NotExecuted
		if uncertain {
			execution = reason.ExecutionUnknown
		}

		return nil, reason.NewRefusal(reason.Store, execution, "cannot decode the head of the configuration in the store")
	}
	if head.Nonce == next.Head.Nonce {
		return next.WithRevision(current.Revision), nil
	}
	for _, past := range head.RecentRevisions {
		if past.Nonce == next.Head.Nonce {
			return next.WithRevision(past.Revision), nil
		}
	}

	return nil, conflictRefusal(head.RevisionInfo)
}

// conflictRefusal returns the refusal of a change because the change r was made first.
func conflictRefusal(r manifest.RevisionInfo) *reason.Refusal {
	return reason.NewRefusal(reason.Conflict, reason.NotExecuted,
		fmt.Sprintf("revision %d by %q was made first (%s)", r.Revision, r.Who, r.Note))
}

// discard removes the parts of an attempt that was rejected because of a conflict.
func (r repository) discard(ctx context.Context, old, lost *manifest.Snapshot) {
	for _, name := range lost.Head.PartNames {
		if old.PartText(name) == "" {
			_, _ = r.store.Delete(ctx, PartPrefix+name, store.Any)
		}
	}
}

// collectGarbage removes the parts of old that next does not use, and a history page that is too old.
func (r repository) collectGarbage(ctx context.Context, old, next *manifest.Snapshot) {
	if old != nil {
		for _, name := range old.Head.PartNames {
			if next.PartText(name) == "" {
				_, _ = r.store.Delete(ctx, PartPrefix+name, store.Any)
			}
		}
	}
	if expired := next.Head.PageCount - maxHistoryPages; expired > 0 && pageCount(old) != next.Head.PageCount {
		_, _ = r.store.Delete(ctx, pageKey(expired), store.Any)
	}
}

// history returns up to limit changes, newest first.
func (r repository) history(ctx context.Context, limit int) ([]manifest.RevisionInfo, error) {
	head, found, err := r.head(ctx)
	if err != nil || !found {
		return nil, err
	}
	list := append([]manifest.RevisionInfo{head.RevisionInfo}, head.RecentRevisions...)
	for page := head.PageCount; page > 0 && page > head.PageCount-maxHistoryPages && len(list) < limit; page-- {
		entry, err := r.store.Get(ctx, pageKey(page))
		if err != nil {
			return nil, err
		}
		var older []manifest.RevisionInfo
		if err := json.Unmarshal([]byte(entry.Value), &older); err != nil {
			return nil, errors.Wrapf(manifest.ErrInvalid, "cannot decode history page %d", page)
		}
		list = append(list, older...)
	}

	return list[:min(len(list), limit)], nil
}

func pageCount(s *manifest.Snapshot) int {
	if s == nil {
		return 0
	}

	return s.Head.PageCount
}

func pageKey(page int) string { return fmt.Sprintf("%s%08d", pagePrefix, page) }

// executionOf returns whether a failed call took effect.
func executionOf(err error) reason.Execution {
	var r *reason.Refusal
	if errors.As(err, &r) {
		return r.Run
	}

	return reason.ExecutionUnknown
}

// storeRefusal returns the refusal that an operator gets for an error of the store. If uncertain is
// set, the change may have taken effect.
func storeRefusal(err error, uncertain bool) *reason.Refusal {
	execution := reason.NotExecuted
	if uncertain {
		execution = reason.ExecutionUnknown
	}

	return reason.NewRefusal(reason.Store, execution, "the platform's store: "+err.Error())
}
