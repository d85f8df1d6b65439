package settings

import (
	"encoding/json"
	"sync"

	"github.com/pkg/errors"

	"jacinthferry/core/clock"
	"jacinthferry/io/schema"
)

// Entry holds the settings of an entry daemon, which serves the routes that the operators keep in the
// platform's store.
type Entry struct {
	// Name is the unique name of the daemon.
	Name string `json:"name"`
	// Zone is the availability zone that the daemon runs in.
	Zone string `json:"zone"`
	// Front is the address of the listener for requests. It is an IP address and a port, as are the
	// following addresses.
	Front string `json:"front"`
	// Ready is the address of the readiness check.
	Ready string `json:"ready"`
	// Directory is the address where callers learn which daemons to connect to.
	Directory string `json:"directory"`
	// Metrics is the address that serves counters and latencies. If it is empty, none does.
	Metrics string `json:"metrics"`
	// Relay is the address where other daemons send legs for upstreams in this daemon's zone. If it is
	// empty, they send none.
	Relay string `json:"relay"`
	// Store is the address of the platform's store.
	Store string `json:"store"`
	// Keep is how long callers may cache an answer of the directory.
	Keep clock.Milli `json:"keep"`
	// Grace is the time from the stop signal to the end of the process.
	Grace clock.Milli `json:"grace"`
	// Repeats limits the retries and hedges.
	Repeats Repeats `json:"repeats"`
	// Trial is the largest share of a service's requests that a canary version gets.
	Trial float64 `json:"trial"`
	// Cores is the number of processor cores of the daemon.
	Cores float64 `json:"cores"`
	// Share is the fraction of the cores that the daemon may use.
	Share float64 `json:"share"`
	// Memory is the memory that the process may use, in megabytes.
	Memory int `json:"memory"`
	// Growth is the percentage by which the heap may grow between two garbage collections, as GOGC.
	Growth int `json:"growth"`
}

// Repeats is the budget for the retries and hedges that all daemons together send to a service: Ratio
// for each request to the service, and Slack in addition.
type Repeats struct {
	Ratio float64 `json:"ratio"`
	Slack float64 `json:"slack"`
}

// DefaultEntry returns the defaults, which lack only names and addresses.
func DefaultEntry() Entry {
	return Entry{
		Keep: 2 * clock.Second, Grace: 6 * clock.Second, Repeats: Repeats{Ratio: 0.2, Slack: 50}, Trial: 0.1,
		Cores: 1, Share: 1, Memory: 256, Growth: 200,
	}
}

// Check returns all faults of e.
func (e Entry) Check() []Fault {
	faults := nonNil(
		checkName("name", e.Name), checkName("zone", e.Zone),
		checkAddress("front", e.Front, true), checkAddress("ready", e.Ready, true),
		checkAddress("directory", e.Directory, true), checkAddress("store", e.Store, false),
		checkRange("keep", float64(e.Keep), float64(100*clock.Millisecond), float64(clock.Minute)),
		checkRange("grace", float64(e.Grace), float64(clock.Second), float64(10*clock.Minute)),
		checkRange("repeats.ratio", e.Repeats.Ratio, 0.01, 1), checkRange("repeats.slack", e.Repeats.Slack, 0, 1e6),
		checkRange("trial", e.Trial, 0.001, 0.5),
		checkRange("cores", e.Cores, 0.01, 1024), checkRange("share", e.Share, 0.001, 1),
		checkRange("memory", float64(e.Memory), 32, 1e6), checkRange("growth", float64(e.Growth), 10, 10000),
	)
	if e.Metrics != "" {
		faults = append(faults, nonNil(checkAddress("metrics", e.Metrics, true))...)
	}
	if e.Relay != "" {
		faults = append(faults, nonNil(checkAddress("relay", e.Relay, true))...)
	}

	return faults
}

// ReadEntry reads the file at path. Missing fields get their defaults; unknown fields are refused. The
// error wraps [ErrSettings].
func ReadEntry(path string) (Entry, error) {
	var e Entry
	err := readFile(path, func(text []byte) (faults []Fault, err error) {
		e, faults, err = ParseEntry(text)

		return faults, err
	})

	return e, err
}

// ParseEntry decodes text and returns all its faults. Missing fields get their defaults. The error is
// not nil if text is not valid JSON.
func ParseEntry(text []byte) (Entry, []Fault, error) {
	docSchema, err := EntrySchema()
	if err != nil {
		return Entry{}, nil, err
	}
	e := DefaultEntry()
	faults, err := parse(docSchema, text, &e)
	if err != nil || len(faults) > 0 {
		return Entry{}, faults, err
	}

	return e, e.Check(), nil
}

// EntrySchema returns the schema of an entry daemon's settings file. It is compiled once.
var EntrySchema = sync.OnceValues(func() (*schema.Schema, error) {
	return schema.For("jacinthferry entry settings", Entry{})
})

// parse checks text against a schema and decodes it into the value at into, which holds the defaults.
func parse(docSchema *schema.Schema, text []byte, into any) ([]Fault, error) {
	faults, err := docSchema.Check(text)
	if err != nil || len(faults) > 0 {
		return faults, err //nolint:wrapcheck // The schema's error says what is wrong.
	}
	if err := json.Unmarshal(text, into); err != nil {
		if f, named := schema.TypeFault(err); named {
			return []Fault{f}, nil
		}

		return nil, errors.Wrap(ErrSettings, err.Error())
	}

	return nil, nil
}
