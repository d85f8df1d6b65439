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
	Order   int64         `json:"order"`
	Version string        `json:"version"`
	Stage   catalog.Stage `json:"stage"`
}

func moveKey(service string) string { return movePrefix + service }

func encodeMove(m catalog.Rollout) (string, error) {
	text, err := json.Marshal(moveRecord{Order: m.OrderRevision, Version: m.Version, Stage: m.Stage})

	return string(text), err //nolint:wrapcheck // Strings and numbers are always encoded.
}

func decodeMove(e store.Entry, now clock.Milli) (Record, error) {
	var m moveRecord
	if err := json.Unmarshal([]byte(e.Value), &m); err != nil {
		return Record{}, err //nolint:wrapcheck // The caller logs it with the key.
	}

	return Record{Kind: Progress, Progress: rollout.Progress{
		Rollout: catalog.Rollout{Version: m.Version, Stage: m.Stage, OrderRevision: m.Order}, Seen: now,
	}}, nil
}

// currentMove returns the move that an order asks for, at its current stage. Until the first stage is
// recorded, the move is at the trial stage, so that the new version gets no more than trial traffic.
func (r *Registry) currentMove(o rollout.Order) catalog.Rollout {
	p := r.entries[moveKey(o.Service)].record.Progress
	if p.Rollout.OrderRevision != o.Revision {
		return catalog.Rollout{Version: o.Version, Stage: catalog.Canary, OrderRevision: o.Revision}
	}

	return p.Rollout
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
		// The store lost the stage.
		if _, err := r.writeMove(ctx, now, o.Service, next.Rollout, stored.revision); err != nil {
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
