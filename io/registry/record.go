package registry

import (
	"encoding/json"
	"strings"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/quarantine"
	"jacinthferry/core/rollout"
	"jacinthferry/io/store"
)

// Kind tells the records of the store apart.
type Kind int

// The kinds of Record.
const (
	// Other is an entry that says nothing to a daemon.
	Other Kind = iota
	// Config is the operators' configuration.
	Config
	// Upstream is a registered upstream.
	Upstream
	// ZoneOut takes an availability zone out for as long as the entry is there.
	ZoneOut
	// Daemon is one of the daemons.
	Daemon
	// Order asks for a version move, Progress is how far the daemons have taken it, and Report what the
	// operators are told of it.
	Order
	Progress
	Report
	// Results is what one daemon has counted for a move.
	Results
	// Quarantine is what one daemon found to crash upstreams.
	Quarantine
)

// Record is what an entry of the store says.
type Record struct {
	Kind     Kind
	Config   *catalog.Config
	Upstream *catalog.Upstream
	Zone     string
	Member   Member
	Order    rollout.Order
	Progress rollout.Progress
	// Text is a report as it was written.
	Text    string
	Results results
	// Prints are the fingerprints of requests that crash upstreams.
	Prints []quarantine.Print
}

// Member is one daemon.
type Member struct {
	Name string
	// Front is where it takes requests.
	Front string
	Zone  string
	// Relay is where it sends legs for other daemons, or empty.
	Relay string
	// Cores is the part of a processor core that it may use.
	Cores float64
}

// memberPrefix is what the keys of daemons begin with.
const memberPrefix = "jacinthferry/members/"

type memberRecord struct {
	Front string  `json:"front"`
	Zone  string  `json:"zone"`
	Relay string  `json:"relay,omitempty"`
	Cores float64 `json:"cores"`
}

func (m Member) key() string { return memberPrefix + m.Name }

func (m Member) value() (string, error) {
	text, err := json.Marshal(memberRecord{Front: m.Front, Zone: m.Zone, Relay: m.Relay, Cores: m.Cores})

	return string(text), err //nolint:wrapcheck // Two strings are always encoded.
}

// decode reads an entry: the daemons' own here, any other as the platform writes it.
func (p *Ports) decode(e store.Entry, now clock.Milli) (Record, error) {
	if strings.HasPrefix(e.Key, movePrefix) {
		return decodeMove(e, now)
	}
	if strings.HasPrefix(e.Key, resultsPrefix) {
		return decodeResults(e)
	}
	if strings.HasPrefix(e.Key, quarantinePrefix) {
		return decodeQuarantine(e)
	}
	name, ok := strings.CutPrefix(e.Key, memberPrefix)
	if !ok {
		return p.Decode(e, now)
	}
	var m memberRecord
	if err := json.Unmarshal([]byte(e.Value), &m); err != nil {
		return Record{}, err //nolint:wrapcheck // The caller logs it with the key.
	}

	return Record{Kind: Daemon, Member: Member{
		Name: name, Front: m.Front, Zone: m.Zone, Relay: m.Relay, Cores: m.Cores,
	}}, nil
}
