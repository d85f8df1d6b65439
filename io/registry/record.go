package registry

import (
	"encoding/json"
	"strings"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/rollout"
	"jacinthferry/core/subset"
	"jacinthferry/io/store"
)

// Kind is the type of a Record.
type Kind int

// The kinds of Record.
const (
	// Ignored is an entry that a daemon ignores.
	Ignored Kind = iota
	// Config is the operators' configuration.
	Config
	// Upstream is a registered upstream.
	Upstream
	// ZoneOut takes an availability zone out of service while the entry exists.
	ZoneOut
	// Daemon is a registered daemon.
	Daemon
	// Order asks for a version move, Progress is the stage that the daemons have brought it to, and Report
	// is its status as written for the operators.
	Order
	Progress
	Report
	// Results are the request counts of one daemon for a move.
	Results
	// Crashes are the crashes of upstreams that one daemon saw.
	Crashes
)

// Record is a decoded store entry. Kind determines which of the other fields are set.
type Record struct {
	Kind     Kind
	Config   *catalog.Config
	Upstream *catalog.Upstream
	Zone     string
	Member   Member
	Order    rollout.Order
	Progress rollout.Progress
	// Text is a report exactly as stored.
	Text    string
	Results results
	Crashes []crash
}

// Member is a daemon as registered in the store.
type Member struct {
	Name string
	// Front is the address on which it serves callers.
	Front string
	Zone  string
	// Relay is the address on which it accepts legs to send for other daemons; empty means that it does not.
	Relay string
	// Cores is its CPU limit, as a fraction of a core.
	Cores float64
	// Since is the store's revision at which it registered, or 0 if that is not known.
	Since int64
	// Reserve is set while it takes no requests.
	Reserve bool
}

// memberPrefix is the key prefix of registered daemons. The daemon's name follows.
const memberPrefix = "jacinthferry/members/"

type memberRecord struct {
	Front string  `json:"front"`
	Zone  string  `json:"zone"`
	Relay string  `json:"relay,omitempty"`
	Cores float64 `json:"cores"`
	// Reserve is set while the daemon takes no requests.
	Reserve bool `json:"reserve,omitempty"`
}

// candidate returns what the choice of the active daemons depends on.
func (m Member) candidate() subset.Member {
	return subset.Member{Name: m.Name, Zone: m.Zone, Cores: m.Cores, Since: m.Since}
}

func (m Member) key() string { return memberPrefix + m.Name }

func (m Member) value() (string, error) {
	text, err := json.Marshal(memberRecord{
		Front: m.Front, Zone: m.Zone, Relay: m.Relay, Cores: m.Cores, Reserve: m.Reserve,
	})

	return string(text), err //nolint:wrapcheck // Two strings are always encoded.
}

// decode decodes an entry. Entries that daemons write are decoded here, all others by the platform's decoder.
func (o *Options) decode(e store.Entry, now clock.Milli) (Record, error) {
	if strings.HasPrefix(e.Key, movePrefix) {
		return decodeMove(e, now)
	}
	if strings.HasPrefix(e.Key, resultsPrefix) {
		return decodeResults(e)
	}
	if strings.HasPrefix(e.Key, crashesPrefix) {
		return decodeCrashes(e)
	}
	name, ok := strings.CutPrefix(e.Key, memberPrefix)
	if !ok {
		return o.Decode(e, now)
	}
	var m memberRecord
	if err := json.Unmarshal([]byte(e.Value), &m); err != nil {
		return Record{}, err //nolint:wrapcheck // The caller logs it with the key.
	}

	return Record{Kind: Daemon, Member: Member{
		Name: name, Front: m.Front, Zone: m.Zone, Relay: m.Relay, Cores: m.Cores, Since: e.Created, Reserve: m.Reserve,
	}}, nil
}
