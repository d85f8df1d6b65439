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

// evidencePrefix is what the keys begin with under which daemons write what they counted for a move.
// The service and the daemon's name follow.
const evidencePrefix = "jacinthferry/evidence/"

// evidenceEvery is the time between two writes of what a daemon counted.
const evidenceEvery = clock.Second

// evidence is what one daemon has counted for the move that an order asks for.
type evidence struct {
	Service string
	Order   int64
	Routes  map[string]rollout.Tally
}

type evidenceRecord struct {
	Order  int64                  `json:"order"`
	Routes map[string]tallyRecord `json:"routes"`
}

type tallyRecord struct {
	Tried    int     `json:"tried"`
	Bad      float64 `json:"bad"`
	Usual    int     `json:"usual"`
	UsualBad float64 `json:"failed"`
}

func evidenceKey(service, daemon string) string { return evidencePrefix + service + "/" + daemon }

func (e evidence) encode() (string, error) {
	record := evidenceRecord{Order: e.Order, Routes: make(map[string]tallyRecord, len(e.Routes))}
	for name, t := range e.Routes {
		record.Routes[name] = tallyRecord(t)
	}
	text, err := json.Marshal(record)

	return string(text), err //nolint:wrapcheck // Strings and numbers are always encoded.
}

func decodeEvidence(e store.Entry) (Record, error) {
	var record evidenceRecord
	if err := json.Unmarshal([]byte(e.Value), &record); err != nil {
		return Record{}, err //nolint:wrapcheck // The caller logs it with the key.
	}
	service, _, _ := strings.Cut(strings.TrimPrefix(e.Key, evidencePrefix), "/")
	found := evidence{Service: service, Order: record.Order, Routes: make(map[string]rollout.Tally, len(record.Routes))}
	for name, t := range record.Routes {
		found.Routes[name] = rollout.Tally(t)
	}

	return Record{Kind: Evidence, Evidence: found}, nil
}

// worse reports whether what all daemons counted together shows that a new version is bad. One daemon
// alone may see too few requests to tell.
func (r *Registry) worse(service string, m catalog.Move) bool {
	sums := make(map[string]rollout.Tally)
	own := evidenceKey(service, r.ports.Self.Name)
	for key, h := range r.entries {
		e := &h.record.Evidence
		if h.record.Kind != Evidence || key == own || e.Service != service || e.Order != m.Order {
			continue
		}
		for name, t := range e.Routes {
			sums[name] = sums[name].Add(t)
		}
	}
	for name, t := range r.ports.Tallies(service, m) {
		sums[name] = sums[name].Add(t)
	}

	return r.panel.Worse(service, m, sums)
}

// testify writes what this daemon counted, if that changed and it did not write just now. When a move is
// over it takes all such entries away.
func (r *Registry) testify(ctx context.Context, now clock.Milli, service string, m catalog.Move) error {
	if m.Stage.Final() {
		return r.dropEvidence(ctx, service)
	}
	mine := evidence{Service: service, Order: m.Order, Routes: r.ports.Tallies(service, m)}
	key := evidenceKey(service, r.ports.Self.Name)
	held := r.entries[key]
	if len(mine.Routes) == 0 || now < r.told[service]+evidenceEvery || reflect.DeepEqual(held.record.Evidence, mine) {
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

// dropEvidence takes the entries for a service's moves away.
func (r *Registry) dropEvidence(ctx context.Context, service string) error {
	for key, h := range r.entries {
		if h.record.Kind != Evidence || h.record.Evidence.Service != service {
			continue
		}
		if _, err := r.ports.Store.Delete(ctx, key, h.revision); err != nil {
			return err //nolint:wrapcheck // It is a refusal of the store.
		}
		delete(r.entries, key)
	}

	return nil
}
