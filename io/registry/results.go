package registry

import (
	"context"
	"encoding/json"
	"reflect"
	"strings"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/rollout"
	"jacinthferry/io/store"
)

// resultsPrefix is the key prefix under which daemons publish their request counts for a move.
// The service and the daemon's name follow.
const resultsPrefix = "jacinthferry/results/"

// resultsInterval is the shortest time between two writes of a daemon's counts for a service.
const resultsInterval = clock.Second

// results holds one daemon's request counts, by route, for a trial.
type results struct {
	Service string
	Trial   int64
	Routes  map[string]rollout.Counts
}

type resultsRecord struct {
	Trial  int64                   `json:"order"`
	Routes map[string]countsRecord `json:"routes"`
}

type countsRecord struct {
	New         int     `json:"new"`
	NewFailures float64 `json:"bad"`
	Old         int     `json:"old"`
	OldFailures float64 `json:"failed"`
}

func resultsKey(service, daemon string) string { return resultsPrefix + service + "/" + daemon }

func (r results) encode() (string, error) {
	record := resultsRecord{Trial: r.Trial, Routes: make(map[string]countsRecord, len(r.Routes))}
	for name, c := range r.Routes {
		record.Routes[name] = countsRecord(c)
	}
	text, err := json.Marshal(record)

	return string(text), err //nolint:wrapcheck // Strings and numbers are always encoded.
}

func decodeResults(e store.Entry) (Record, error) {
	var record resultsRecord
	if err := json.Unmarshal([]byte(e.Value), &record); err != nil {
		return Record{}, err //nolint:wrapcheck // The caller logs it with the key.
	}
	service, _, _ := strings.Cut(strings.TrimPrefix(e.Key, resultsPrefix), "/")
	decoded := results{Service: service, Trial: record.Trial, Routes: make(map[string]rollout.Counts, len(record.Routes))}
	for name, c := range record.Routes {
		decoded.Routes[name] = rollout.Counts(c)
	}

	return Record{Kind: Results, Results: decoded}, nil
}

// judge returns what the sum of all daemons' counts shows of the new version. One daemon alone may see too few
// requests to tell. A stable version is healthy once one of its upstreams takes requests.
func (r *Registry) judge(service string, m catalog.Rollout) rollout.Verdict {
	if m.IsStable(m.Version) {
		return r.judgeStable(service, m.Version)
	}
	sums := make(map[string]rollout.Counts)
	own := resultsKey(service, r.options.Self.Name)
	for key, s := range r.entries {
		res := &s.record.Results
		if s.record.Kind != Results || key == own || res.Service != service || res.Trial != m.TrialRevision {
			continue
		}
		addCounts(sums, res.Routes)
	}
	addCounts(sums, r.ownCounts(service, m))

	return r.analyzer.Judge(service, m, sums)
}

func (r *Registry) judgeStable(service, version string) rollout.Verdict {
	for _, u := range r.View().Usable(service) {
		if u.Version == version {
			return rollout.Healthy
		}
	}

	return rollout.Undecided
}

// ownCounts returns this daemon's counts for a move, with those of its previous run, by route.
func (r *Registry) ownCounts(service string, m catalog.Rollout) map[string]rollout.Counts {
	sums := make(map[string]rollout.Counts)
	if before := r.inherited[service]; before.Trial == m.TrialRevision {
		addCounts(sums, before.Routes)
	}
	addCounts(sums, r.options.Counts(service, m))

	return sums
}

// inheritResults keeps the counts that the previous run of this daemon stored under its name, so that this run
// adds to them in place of overwriting them.
func (r *Registry) inheritResults() {
	for key, s := range r.entries {
		service := s.record.Results.Service
		if s.record.Kind == Results && key == resultsKey(service, r.options.Self.Name) && r.resultsSent[service] == 0 {
			r.inherited[service] = s.record.Results
		}
	}
}

// addCounts adds counts by route to sums.
func addCounts(sums, counts map[string]rollout.Counts) {
	for name, c := range counts {
		sums[name] = sums[name].Add(c)
	}
}

// shareResults publishes this daemon's counts if they changed and the last write was at least one interval ago.
// Once a move has reached its final stage, it deletes the counts of all daemons instead.
func (r *Registry) shareResults(ctx context.Context, now clock.Milli, service string, m catalog.Rollout) error {
	if m.Stage.Final() {
		return r.deleteResults(ctx, service)
	}
	mine := results{Service: service, Trial: m.TrialRevision, Routes: r.ownCounts(service, m)}
	key := resultsKey(service, r.options.Self.Name)
	stored := r.entries[key]
	if len(mine.Routes) == 0 || now < r.resultsSent[service]+resultsInterval ||
		reflect.DeepEqual(stored.record.Results, mine) {
		return nil
	}
	text, err := mine.encode()
	if err != nil {
		return err
	}
	r.resultsSent[service] = now
	_, err = r.compareAndSwap(ctx, now, key, text, stored.revision, "")

	return err
}

// deleteResults deletes the counts of all daemons for a service.
func (r *Registry) deleteResults(ctx context.Context, service string) error {
	for key, s := range r.entries {
		if s.record.Kind != Results || s.record.Results.Service != service {
			continue
		}
		deleted, err := r.options.Store.Delete(ctx, key, s.revision)
		if err != nil {
			return err //nolint:wrapcheck // It is a refusal of the store.
		}
		if deleted.Applied {
			delete(r.entries, key)
		}
	}

	return nil
}
