package registry

import (
	"context"
	"encoding/json"
	"slices"

	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/quarantine"
	"jacinthferry/core/reason"
	"jacinthferry/io/store"
)

const (
	// quarantinePrefix is what the keys begin with under which daemons write the requests that they found
	// to crash upstreams. The daemon's name follows.
	quarantinePrefix = "jacinthferry/quarantine/"
	// quarantineKeep is how many requests a daemon writes at most, the newest.
	quarantineKeep = 64
)

type quarantineRecord struct {
	Prints []quarantine.Print `json:"prints"`
}

func decodeQuarantine(e store.Entry) (Record, error) {
	var record quarantineRecord
	if err := json.Unmarshal([]byte(e.Value), &record); err != nil {
		return Record{}, err //nolint:wrapcheck // The caller logs it with the key.
	}

	return Record{Kind: Quarantine, Prints: record.Prints}, nil
}

// found is a request that this daemon found to crash upstreams.
type found struct {
	print quarantine.Print
	// until is when it is told to the other daemons no more.
	until clock.Milli
}

// Quarantined tells the other daemons, at the next turn, that a request crashes upstreams. It is safe for
// concurrent use.
func (r *Registry) Quarantined(p quarantine.Print) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.found = append(r.found, found{p, r.ports.Now() + quarantine.Span})
	r.found = r.found[max(0, len(r.found)-quarantineKeep):]
}

// prints returns the requests that are to be told to the other daemons.
func (r *Registry) prints(now clock.Milli) []quarantine.Print {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.found = slices.DeleteFunc(r.found, func(f found) bool { return now >= f.until })
	list := make([]quarantine.Print, 0, len(r.found))
	for _, f := range r.found {
		list = append(list, f.print)
	}

	return list
}

// shareQuarantine writes the requests that this daemon found to crash upstreams, if that changed. What
// fails is tried again at the next turn.
func (r *Registry) shareQuarantine(ctx context.Context) {
	now := r.ports.Now()
	key := quarantinePrefix + r.ports.Self.Name
	held, list := r.entries[key], r.prints(now)
	if slices.Equal(held.record.Prints, list) {
		return
	}
	if err := r.writePrints(ctx, now, key, held.revision, list); err != nil {
		r.note(event.Event{Kind: event.Quarantine, Reason: reason.Store, Detail: "not told to other daemons: " + err.Error()})
	}
}

func (r *Registry) writePrints(
	ctx context.Context, now clock.Milli, key string, revision int64, list []quarantine.Print,
) error {
	if len(list) == 0 {
		if _, err := r.ports.Store.Delete(ctx, key, revision); err != nil {
			return err //nolint:wrapcheck // It is a refusal of the store.
		}
		delete(r.entries, key)

		return nil
	}
	text, err := json.Marshal(quarantineRecord{Prints: list})
	if err != nil {
		return err //nolint:wrapcheck // Numbers are always encoded.
	}
	_, err = r.write(ctx, now, key, string(text), revision)

	return err
}
