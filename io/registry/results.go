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

// resultsPrefix is what the keys begin with under which daemons write what they counted for a move.
// The service and the daemon's name follow.
const resultsPrefix = "jacinthferry/results/"

// resultsEvery is the time between two writes of what a daemon counted.
const resultsEvery = clock.Second

// results is what one daemon has counted for the move that an order asks for.
type results struct {
	Service string
	Order   int64
	Routes  map[string]rollout.Counts
}

type resultsRecord struct {
	Order  int64                   `json:"order"`
	Routes map[string]countsRecord `json:"routes"`
}

type countsRecord struct {
	New    int     `json:"new"`
	NewBad float64 `json:"bad"`
	Old    int     `json:"old"`
	OldBad float64 `json:"failed"`
}

func resultsKey(service, daemon string) string { return resultsPrefix + service + "/" + daemon }

func (e results) encode() (string, error) {
	record := resultsRecord{Order: e.Order, Routes: make(map[string]countsRecord, len(e.Routes))}
	for name, t := range e.Routes {
		record.Routes[name] = countsRecord(t)
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
	found := results{Service: service, Order: record.Order, Routes: make(map[string]rollout.Counts, len(record.Routes))}
	for name, t := range record.Routes {
		found.Routes[name] = rollout.Counts(t)
	}

	return Record{Kind: Results, Results: found}, nil
}

// worse reports whether what all daemons counted together shows that a new version is bad. One daemon
// alone may see too few requests to tell.
func (r *Registry) worse(service string, m catalog.Move) bool {
	sums := make(map[string]rollout.Counts)
	own := resultsKey(service, r.ports.Self.Name)
	for key, h := range r.entries {
		e := &h.record.Results
		if h.record.Kind != Results || key == own || e.Service != service || e.Order != m.Order {
			continue
		}
		for name, t := range e.Routes {
			sums[name] = sums[name].Add(t)
		}
	}
	for name, t := range r.ports.Counts(service, m) {
		sums[name] = sums[name].Add(t)
	}

	return r.analyzer.Worse(service, m, sums)
}

// shareResults writes what this daemon counted, if that changed and it did not write just now. When a move is
// over it takes all such entries away.
func (r *Registry) shareResults(ctx context.Context, now clock.Milli, service string, m catalog.Move) error {
	if m.Stage.Final() {
		return r.dropResults(ctx, service)
	}
	mine := results{Service: service, Order: m.Order, Routes: r.ports.Counts(service, m)}
	key := resultsKey(service, r.ports.Self.Name)
	held := r.entries[key]
	if len(mine.Routes) == 0 || now < r.told[service]+resultsEvery || reflect.DeepEqual(held.record.Results, mine) {
		return nil
	}
	text, err := mine.encode()
	if err != nil {
		return err
	}
	r.told[service] = now
	_, err = r.write(ctx, now, key, text, held.revision)

	return err
}

// dropResults takes the entries for a service's moves away.
func (r *Registry) dropResults(ctx context.Context, service string) error {
	for key, h := range r.entries {
		if h.record.Kind != Results || h.record.Results.Service != service {
			continue
		}
		if _, err := r.ports.Store.Delete(ctx, key, h.revision); err != nil {
			return err //nolint:wrapcheck // It is a refusal of the store.
		}
		delete(r.entries, key)
	}

	return nil
}
