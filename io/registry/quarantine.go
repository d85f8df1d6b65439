package registry

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/quarantine"
	"jacinthferry/core/reason"
	"jacinthferry/io/store"
)

const (
	// crashesPrefix is the key prefix under which daemons publish the crashes that they saw. The daemon's name
	// follows.
	crashesPrefix = "jacinthferry/quarantine/"
	// maxCrashes is how many crashes a daemon publishes at most; it keeps the newest. Of one request it publishes as
	// many as put the request into quarantine.
	maxCrashes = 1024
)

// crash is the crash of a process of an upstream while it ran a request.
type crash struct {
	Print quarantine.Fingerprint `json:"print"`
	// Process identifies the process that crashed.
	Process uint64 `json:"process"`
}

func (c crash) warning() quarantine.Warning {
	return quarantine.Warning{Fingerprint: c.Print, Crashes: []uint64{c.Process}, Remaining: quarantine.Period}
}

type crashesRecord struct {
	Crashes []crash `json:"crashes"`
}

func decodeCrashes(e store.Entry) (Record, error) {
	var record crashesRecord
	if err := json.Unmarshal([]byte(e.Value), &record); err != nil {
		return Record{}, err //nolint:wrapcheck // The caller logs it with the key.
	}

	return Record{Kind: Crashes, Crashes: record.Crashes}, nil
}

// publishedCrash is a crash that this daemon saw.
type publishedCrash struct {
	crash
	// expiresAt is when it is no longer published.
	expiresAt clock.Milli
}

// PublishCrash queues a warning about crashes that this daemon saw, and ends a waiting watch so that Run publishes it
// to the other daemons soon. It is safe for concurrent use.
func (r *Registry) PublishCrash(w quarantine.Warning) {
	r.addCrashes(w)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Registry) addCrashes(w quarantine.Warning) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, process := range w.Crashes {
		if r.publishes(w.Fingerprint) >= quarantine.CrashLimit {
			break
		}
		r.crashes = append(r.crashes, publishedCrash{crash{w.Fingerprint, process}, r.options.Now() + quarantine.Period})
	}
	r.crashes = r.crashes[max(0, len(r.crashes)-maxCrashes):]
}

// publishes returns how many crashes of a request this daemon publishes. The lock is held.
func (r *Registry) publishes(p quarantine.Fingerprint) int {
	n := 0
	for _, c := range r.crashes {
		if c.Print == p {
			n++
		}
	}

	return n
}

// inheritCrashes takes over the crashes that the previous run of this daemon published.
func (r *Registry) inheritCrashes() {
	if r.inheritedCrashes {
		return
	}
	r.inheritedCrashes = true
	for _, c := range r.entries[crashesPrefix+r.options.Self.Name].record.Crashes {
		r.addCrashes(c.warning())
	}
}

// mergeCrashes passes on the crashes of another daemon that are not known yet.
func (r *Registry) mergeCrashes(known, published []crash) {
	if r.options.OnWarning == nil {
		return
	}
	for _, c := range published {
		if !slices.Contains(known, c) {
			r.options.OnWarning(c.warning())
		}
	}
}

// activeCrashes drops the expired crashes and returns those to publish to the other daemons.
func (r *Registry) activeCrashes(now clock.Milli) []crash {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes = slices.DeleteFunc(r.crashes, func(c publishedCrash) bool { return now >= c.expiresAt })
	list := make([]crash, 0, len(r.crashes))
	for _, c := range r.crashes {
		list = append(list, c.crash)
	}

	return list
}

// shareCrashes publishes the crashes that this daemon saw, if they changed. A failure is retried in the next
// iteration.
func (r *Registry) shareCrashes(ctx context.Context) {
	now := r.options.Now()
	key := crashesPrefix + r.options.Self.Name
	stored, list := r.entries[key], r.activeCrashes(now)
	if slices.Equal(stored.record.Crashes, list) {
		return
	}
	if err := r.writeCrashes(ctx, now, key, stored.revision, list); err != nil {
		r.recordEvent(event.Event{
			Kind: event.Quarantine, Reason: reason.Store, Detail: "cannot publish crashes of upstreams: " + err.Error(),
		})
	}
}

// writeCrashes writes a daemon's record. Its lease removes it in case the daemon never returns.
func (r *Registry) writeCrashes(ctx context.Context, now clock.Milli, key string, revision int64, list []crash) error {
	if len(list) == 0 {
		deleted, err := r.options.Store.Delete(ctx, key, revision)
		if err == nil && deleted.Applied {
			delete(r.entries, key)
		}

		return err //nolint:wrapcheck // It is a refusal of the store.
	}
	text, err := json.Marshal(crashesRecord{Crashes: list})
	if err != nil {
		return err //nolint:wrapcheck // Numbers are always encoded.
	}
	lease, err := r.options.Store.Grant(ctx, quarantine.Period)
	if err != nil {
		return errors.Wrap(err, "registry: cannot get a lease")
	}
	_, err = r.compareAndSwap(ctx, now, key, string(text), revision, lease.ID)

	return err
}
