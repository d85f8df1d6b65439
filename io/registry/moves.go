package registry

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/reason"
	"jacinthferry/core/rollout"
	"jacinthferry/io/store"
)

// movePrefix is what the keys of the daemons' own records of version moves begin with.
const movePrefix = "jacinthferry/moves/"

// moveWait is how long a watch waits at most while a move is under way.
const moveWait = clock.Second

type moveRecord struct {
	Order   int64         `json:"order"`
	Version string        `json:"version"`
	Stage   catalog.Stage `json:"stage"`
}

func moveKey(service string) string { return movePrefix + service }

func encodeMove(m catalog.Move) (string, error) {
	text, err := json.Marshal(moveRecord{Order: m.Order, Version: m.Version, Stage: m.Stage})

	return string(text), err //nolint:wrapcheck // Strings and numbers are always encoded.
}

func decodeMove(e store.Entry, now clock.Milli) (Record, error) {
	var m moveRecord
	if err := json.Unmarshal([]byte(e.Value), &m); err != nil {
		return Record{}, err //nolint:wrapcheck // The caller logs it with the key.
	}

	return Record{Kind: Progress, Progress: rollout.Progress{
		Move: catalog.Move{Version: m.Version, Stage: m.Stage, Order: m.Order}, Seen: now,
	}}, nil
}

// move returns the move that an order asks for, at its stage. Before the first step is written the
// new version is on trial already: it may not get more.
func (r *Registry) move(o rollout.Order) catalog.Move {
	p := r.entries[moveKey(o.Service)].record.Progress
	if p.Move.Order != o.Revision {
		return catalog.Move{Version: o.Version, Stage: catalog.Trial, Order: o.Revision}
	}

	return p.Move
}

// moving reports whether a version move is under way.
func (r *Registry) moving() bool {
	for _, h := range r.entries {
		if h.record.Kind == Order && !r.move(h.record.Order).Stage.Final() {
			return true
		}
	}

	return false
}

// advance takes the next step of each version move and tells the operators of it. What fails is tried
// again at the next turn.
func (r *Registry) advance(ctx context.Context) {
	for _, h := range r.entries {
		if h.record.Kind != Order {
			continue
		}
		o := h.record.Order
		if err := r.advanceOne(ctx, o); err != nil {
			r.note(event.Event{
				Kind: event.Move, Reason: reason.Store, Service: o.Service, Version: o.Version, Detail: err.Error(),
			})
		}
	}
}

// advanceOne takes the next step of one move.
func (r *Registry) advanceOne(ctx context.Context, o rollout.Order) error {
	now := r.ports.Now()
	held := r.entries[moveKey(o.Service)]
	move := r.move(o)
	bad := r.worse(o.Service, move)
	next, changed := rollout.Next(now, o, held.record.Progress, bad)
	if !changed {
		if err := r.shareResults(ctx, now, o.Service, move); err != nil {
			return err
		}

		return r.report(ctx, now, o.Service, next.Move)
	}
	text, err := encodeMove(next.Move)
	if err != nil {
		return err
	}
	done, err := r.write(ctx, now, moveKey(o.Service), text, held.revision)
	if err != nil || !done {
		return err
	}
	kind := event.Move
	if bad {
		kind = event.Trip
	}
	r.note(event.Event{
		Kind: kind, Service: o.Service, Version: o.Version, Revision: uint64(o.Revision), Detail: string(next.Move.Stage),
	})
	r.publish(now)

	return r.report(ctx, now, o.Service, next.Move)
}

// report writes what the operators read of a move, unless it is there.
func (r *Registry) report(ctx context.Context, now clock.Milli, service string, m catalog.Move) error {
	key, text, err := r.ports.Report(service, m)
	if err != nil {
		return err
	}
	if held := r.entries[key]; held.record.Text != text {
		_, err = r.write(ctx, now, key, text, held.revision)
	}

	return err
}

// write changes a key that is as it was when this daemon last saw it, and takes the change at once. It
// reports false when another daemon was first.
func (r *Registry) write(ctx context.Context, now clock.Milli, key, text string, expect int64) (bool, error) {
	done, err := r.ports.Store.Put(ctx, key, text, expect, "")
	if err != nil {
		return false, errors.Wrapf(err, "registry: cannot write %s", key)
	}
	if done.Done {
		r.apply(now, store.Entry{Key: key, Value: text, Revision: done.Revision})
	}

	return done.Done, nil
}
