package control

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"jacinthferry/core/clock"
	"jacinthferry/core/config"
	"jacinthferry/core/manifest"
	"jacinthferry/core/reason"
)

// RevisionInfo describes a revision: who made it, when and why.
type RevisionInfo struct {
	Revision int64
	Who      string
	Note     string
	At       clock.Milli
}

// ApplyOptions are the options of a change.
type ApplyOptions struct {
	Who  string
	Note string
	// Expect is the revision that the change is based on. 0 means the newest one.
	Expect int64
	// Force makes the change even if the remaining capacity is too small for the load or another change
	// was made first.
	Force bool
}

// Applied is the result of an accepted change: its revision, and the one that it replaced or 0.
type Applied struct {
	Revision int64
	Previous int64
}

// storeTimeout is the timeout of an operator's call, including retries of calls to the store.
const storeTimeout = 5 * clock.Second

// Apply replaces the configuration by next. The error is a *reason.Refusal: Conflict if another
// change was made first, or Store, with whether the change took effect, if the store cannot be
// reached.
func (c *Control) Apply(ctx context.Context, next config.Config, o ApplyOptions) (Applied, error) {
	return c.applyEdit(ctx, o, func(config.Config) (config.Config, error) { return next, nil })
}

// applyEdit applies edit to the newest configuration and stores the result. If forced, it retries
// after conflicts.
func (c *Control) applyEdit(
	ctx context.Context, o ApplyOptions, edit func(config.Config) (config.Config, error),
) (Applied, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
	defer cancel()
	for {
		applied, err := c.tryEdit(ctx, o, edit)
		if err == nil || !o.Force || reasonOf(err) != reason.Conflict || ctx.Err() != nil {
			return applied, err
		}
	}
}

func (c *Control) tryEdit(
	ctx context.Context, o ApplyOptions, edit func(config.Config) (config.Config, error),
) (Applied, error) {
	r := repository{c.opts.Store}
	old, err := r.load(ctx, c.snapshot.Load())
	if err != nil {
		return Applied{}, storeRefusal(err, false)
	}
	if o.Expect != 0 && o.Expect != old.Revision() && !o.Force {
		if old == nil {
			return Applied{}, reason.NewRefusal(reason.Conflict, reason.NotExecuted, "there is no configuration yet")
		}

		return Applied{}, conflictRefusal(old.Head.RevisionInfo)
	}
	next, err := c.nextSnapshot(old, o, edit)
	if err != nil {
		return Applied{}, err
	}
	prepared, err := r.prepare(ctx, old, next)
	if err != nil {
		return Applied{}, storeRefusal(err, false)
	}
	accepted, err := r.accept(ctx, old, prepared)
	if err != nil {
		if reasonOf(err) == reason.Conflict {
			r.discard(ctx, old, prepared)
		}

		return Applied{}, err
	}
	// Wait until the change is in force here, so that operators can read their own writes.
	done := make(chan struct{})
	c.post(acceptedRevision{accepted, done})
	select {
	case <-done:
	case <-ctx.Done():
	}
	go r.collectGarbage(c.ctx, old, accepted)

	return Applied{Revision: accepted.Revision(), Previous: old.Revision()}, nil
}

func (c *Control) nextSnapshot(
	old *manifest.Snapshot, o ApplyOptions, edit func(config.Config) (config.Config, error),
) (*manifest.Snapshot, error) {
	var base config.Config
	if old != nil {
		base = old.Config
	}
	edited, err := edit(base)
	if err != nil {
		return nil, err
	}

	return old.Next(
		edited, manifest.RevisionInfo{Nonce: nonce(), Who: o.Who, Note: o.Note, At: clock.FromTime(time.Now())},
	)
}

// CurrentConfig returns the configuration in force on this daemon, or false if there is none yet.
func (c *Control) CurrentConfig(context.Context) (config.Config, RevisionInfo, bool) {
	s := c.snapshot.Load()
	if s == nil {
		return config.Config{}, RevisionInfo{}, false
	}

	return s.Config, revisionInfo(s.Head.RevisionInfo), true
}

// History returns up to limit changes, newest first. The error is a *reason.Refusal.
func (c *Control) History(ctx context.Context, limit int) ([]RevisionInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
	defer cancel()
	found, err := repository{c.opts.Store}.history(ctx, limit)
	if err != nil {
		return nil, storeRefusal(err, false)
	}
	list := make([]RevisionInfo, 0, len(found))
	for _, r := range found {
		list = append(list, revisionInfo(r))
	}

	return list, nil
}

func revisionInfo(r manifest.RevisionInfo) RevisionInfo {
	return RevisionInfo{Revision: r.Revision, Who: r.Who, Note: r.Note, At: r.At}
}

// nonceBytes is the number of random bytes that identify one attempt.
const nonceBytes = 8

func nonce() string {
	var b [nonceBytes]byte
	_, _ = rand.Read(b[:])

	return hex.EncodeToString(b[:])
}
