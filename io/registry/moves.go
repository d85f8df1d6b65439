package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/reason"
	"jacinthferry/core/rollout"
	"jacinthferry/io/store"
)

// movePrefix is the key prefix under which daemons record the progress of version moves, by service.
const movePrefix = "jacinthferry/moves/"

// moveWatchTimeout is the longest wait of a watch while a version move is in progress.
const moveWatchTimeout = clock.Second

type moveRecord struct {
	Order    int64         `json:"order"`
	Version  string        `json:"version"`
	Stage    catalog.Stage `json:"stage"`
	Trial    int64         `json:"trial"`
	Stable   []string      `json:"stable"`
	Withheld []trialRecord `json:"withheld,omitempty"`
}

// trialRecord is a version that was ordered before, and the number of its trial or 0.
type trialRecord struct {
	Version string `json:"version"`
	Trial   int64  `json:"trial,omitempty"`
}

func moveKey(service string) string { return movePrefix + service }

func encodeMove(m catalog.Rollout) (string, error) {
	record := moveRecord{
		Order: m.OrderRevision, Version: m.Version, Stage: m.Stage, Trial: m.TrialRevision, Stable: m.Stable,
	}
	for _, t := range m.Withheld {
		record.Withheld = append(record.Withheld, trialRecord{Version: t.Version, Trial: t.Revision})
	}
	text, err := json.Marshal(record)

	return string(text), err //nolint:wrapcheck // Strings and numbers are always encoded.
}

func decodeMove(e store.Entry, now clock.Milli) (Record, error) {
	var m moveRecord
	if err := json.Unmarshal([]byte(e.Value), &m); err != nil {
		return Record{}, err //nolint:wrapcheck // The caller logs it with the key.
	}

	move := catalog.Rollout{
		Version: m.Version, Stage: m.Stage, OrderRevision: m.Order, TrialRevision: m.Trial, Stable: m.Stable,
	}
	if move.TrialRevision == 0 {
		// Daemons of earlier releases write no trial.
		move.TrialRevision = m.Order
	}
	for _, t := range m.Withheld {
		move.Withheld = append(move.Withheld, catalog.Trial{Version: t.Version, Revision: t.Trial})
	}

	return Record{Kind: Progress, Progress: rollout.Progress{Rollout: move, Seen: now}}, nil
}

// beginMoves begins the version moves whose orders are later than what is known of their progress.
func (r *Registry) beginMoves(now clock.Milli) {
	for _, s := range r.entries {
		if s.record.Kind == Order {
			r.beginMove(now, s.record.Order)
		}
	}
}

// beginMove begins the version move of an order, unless it has begun. It does so in memory, before anything is
// recorded, so that a new version gets no more than trial traffic and each of several orders is taken into account.
// A move that began in an earlier generation goes on under the revision that its order has now.
func (r *Registry) beginMove(now clock.Milli, o rollout.Order) {
	key := moveKey(o.Service)
	s := r.entries[key]
	before := s.record.Progress
	switch {
	case before.Rollout.OrderRevision >= o.Revision:
		return
	case before.Rollout.Version == o.Version &&
		store.Generation(before.Rollout.OrderRevision) < store.Generation(o.Revision):
		r.adoptMove(o)

		return
	}
	var upstreams []*catalog.Upstream
	for _, e := range r.entries {
		if e.record.Kind == Upstream && e.record.Upstream.Service == o.Service {
			upstreams = append(upstreams, e.record.Upstream)
		}
	}
	s.record = Record{Kind: Progress, Progress: rollout.Begin(now, o, before, upstreams)}
	s.assumed = true
	r.entries[key] = s
	m := s.record.Progress.Rollout
	r.recordEvent(event.Event{
		Kind: event.Move, Service: o.Service, Version: o.Version, Revision: uint64(o.Revision),
		Detail: fmt.Sprintf("%s, stable %v, withheld %v", m.Stage, m.Stable, m.Withheld),
	})
}

// currentMove returns the move that an order asks for at its current stage, or that of a later order which this daemon
// has yet to learn of.
func (r *Registry) currentMove(o rollout.Order) catalog.Rollout {
	return r.entries[moveKey(o.Service)].record.Progress.Rollout
}

// moveInProgress reports whether a version move has not reached its final stage.
func (r *Registry) moveInProgress() bool {
	for _, s := range r.entries {
		if s.record.Kind == Order && !r.currentMove(s.record.Order).Stage.Final() {
			return true
		}
	}

	return false
}

// advanceMoves moves each version move to its next stage when that is due, and reports it to the
// operators. A failure is retried in the next iteration.
func (r *Registry) advanceMoves(ctx context.Context) {
	for _, s := range r.entries {
		if s.record.Kind != Order {
			continue
		}
		o := s.record.Order
		if err := r.advanceMove(ctx, o); err != nil {
			r.recordEvent(event.Event{
				Kind: event.Move, Reason: reason.Store, Service: o.Service, Version: o.Version, Detail: err.Error(),
			})
		}
	}
}

// advanceMove moves one version move to its next stage when that is due.
func (r *Registry) advanceMove(ctx context.Context, o rollout.Order) error {
	now := r.options.Now()
	stored := r.entries[moveKey(o.Service)]
	move := r.currentMove(o)
	verdict := r.judge(o.Service, move)
	next, changed := rollout.Next(now, o, stored.record.Progress, verdict)
	if !changed && stored.assumed {
		// The move has just begun, or the store lost its stage.
		if done, err := r.writeMove(ctx, now, o.Service, next.Rollout, stored.revision); err != nil || !done {
			return err
		}
	}
	if !changed {
		if err := r.shareResults(ctx, now, o.Service, move); err != nil {
			return err
		}

		return r.writeReport(ctx, now, o.Service, next.Rollout)
	}
	done, err := r.writeMove(ctx, now, o.Service, next.Rollout, stored.revision)
	if err != nil || !done {
		return err
	}
	r.recordStep(o, next.Rollout.Stage, verdict)
	r.publish(now)

	return r.writeReport(ctx, now, o.Service, next.Rollout)
}

// writeMove writes the stage of a version move if its entry still has the revision expect. It reports false when
// another daemon wrote the entry first.
func (r *Registry) writeMove(
	ctx context.Context, now clock.Milli, service string, m catalog.Rollout, expect int64,
) (bool, error) {
	text, err := encodeMove(m)
	if err != nil {
		return false, err
	}

	return r.compareAndSwap(ctx, now, moveKey(service), text, expect, "")
}

// recordStep records an event for a step of a version move, and why the move is rolled back if it is.
func (r *Registry) recordStep(o rollout.Order, stage catalog.Stage, verdict rollout.Verdict) {
	kind, detail := event.Move, string(stage)
	switch {
	case verdict == rollout.Regressed:
		kind = event.Trip
	case stage == catalog.RolledBack:
		detail += ", too few answers to tell whether the version is healthy"
	}
	r.recordEvent(event.Event{
		Kind: kind, Service: o.Service, Version: o.Version, Revision: uint64(o.Revision), Detail: detail,
	})
}

// recordAssignments records an event for each version move after which other versions of the service take requests.
func (r *Registry) recordAssignments(view *catalog.View, moves map[string]catalog.Rollout) {
	for service, m := range moves {
		assignment := fmt.Sprintf("requests go to %s, a share to %s",
			describeVersions(view.Usable(service)), describeVersions(view.Canaries(service)))
		if r.assignments[service] == assignment {
			continue
		}
		r.assignments[service] = assignment
		r.recordEvent(event.Event{
			Kind: event.Move, Service: service, Version: m.Version, Revision: uint64(m.OrderRevision), Detail: assignment,
		})
	}
}

// describeVersions lists the versions of some upstreams, as text.
func describeVersions(upstreams []*catalog.Upstream) string {
	var versions []string
	for _, u := range upstreams {
		if !slices.Contains(versions, u.Version) {
			versions = append(versions, u.Version)
		}
	}
	slices.Sort(versions)
	if len(versions) == 0 {
		return "none"
	}

	return strings.Join(versions, " and ")
}

// writeReport writes the operators' report of a move, unless the store already holds the same text.
func (r *Registry) writeReport(ctx context.Context, now clock.Milli, service string, m catalog.Rollout) error {
	key, text, err := r.options.EncodeReport(service, m)
	if err != nil {
		return err
	}
	if stored := r.entries[key]; stored.record.Text != text {
		_, err = r.compareAndSwap(ctx, now, key, text, stored.revision, "")
	}

	return err
}

// compareAndSwap writes a key if its revision is still the expected one, and applies the change locally
// at once. The key goes with the lease, if one is given. It reports false when another daemon wrote the key first.
func (r *Registry) compareAndSwap(
	ctx context.Context, now clock.Milli, key, text string, expect int64, lease string,
) (bool, error) {
	done, err := r.options.Store.Put(ctx, key, text, expect, lease)
	if err != nil {
		return false, errors.Wrapf(err, "registry: cannot write %s", key)
	}
	if done.Applied {
		r.apply(now, store.Entry{Key: key, Value: text, Revision: done.Revision})
	}

	return done.Applied, nil
}
