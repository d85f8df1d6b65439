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
	// quarantinePrefix is the key prefix under which daemons publish the fingerprints of requests that
	// they found to crash upstreams. The daemon's name follows.
	quarantinePrefix = "jacinthferry/quarantine/"
	// maxCrashPrints is how many fingerprints a daemon publishes at most; it keeps the newest.
	maxCrashPrints = 64
)

type quarantineRecord struct {
	Prints []quarantine.Fingerprint `json:"prints"`
}

func decodeQuarantine(e store.Entry) (Record, error) {
	var record quarantineRecord
	if err := json.Unmarshal([]byte(e.Value), &record); err != nil {
		return Record{}, err //nolint:wrapcheck // The caller logs it with the key.
	}

	return Record{Kind: Quarantine, Prints: record.Prints}, nil
}

// crashPrint is the fingerprint of a request that this daemon found to crash upstreams.
type crashPrint struct {
	print quarantine.Fingerprint
	// expiresAt is when it is no longer published.
	expiresAt clock.Milli
}

// PublishQuarantined queues the fingerprint of a request that crashes upstreams; the next iteration of Run
// publishes it to the other daemons. It is safe for concurrent use.
func (r *Registry) PublishQuarantined(p quarantine.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashPrints = append(r.crashPrints, crashPrint{p, r.options.Now() + quarantine.Period})
	r.crashPrints = r.crashPrints[max(0, len(r.crashPrints)-maxCrashPrints):]
}

// activePrints drops the expired fingerprints and returns those to publish to the other daemons.
func (r *Registry) activePrints(now clock.Milli) []quarantine.Fingerprint {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashPrints = slices.DeleteFunc(r.crashPrints, func(f crashPrint) bool { return now >= f.expiresAt })
	list := make([]quarantine.Fingerprint, 0, len(r.crashPrints))
	for _, f := range r.crashPrints {
		list = append(list, f.print)
	}

	return list
}

// shareQuarantine publishes the fingerprints of requests that this daemon found to crash upstreams, if
// they changed. A failure is retried in the next iteration.
func (r *Registry) shareQuarantine(ctx context.Context) {
	now := r.options.Now()
	key := quarantinePrefix + r.options.Self.Name
	stored, list := r.entries[key], r.activePrints(now)
	if slices.Equal(stored.record.Prints, list) {
		return
	}
	if err := r.writePrints(ctx, now, key, stored.revision, list); err != nil {
		r.recordEvent(event.Event{
			Kind: event.Quarantine, Reason: reason.Store,
			Detail: "cannot publish fingerprints of crashing requests: " + err.Error(),
		})
	}
}

func (r *Registry) writePrints(
	ctx context.Context, now clock.Milli, key string, revision int64, list []quarantine.Fingerprint,
) error {
	if len(list) == 0 {
		if _, err := r.options.Store.Delete(ctx, key, revision); err != nil {
			return err //nolint:wrapcheck // It is a refusal of the store.
		}
		delete(r.entries, key)

		return nil
	}
	text, err := json.Marshal(quarantineRecord{Prints: list})
	if err != nil {
		return err //nolint:wrapcheck // Numbers are always encoded.
	}
	_, err = r.compareAndSwap(ctx, now, key, string(text), revision)

	return err
}
