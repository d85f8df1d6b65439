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
	// RequestAddress is the address of the listener for requests. It is an IP address and a port, as are the
	// following addresses.
	RequestAddress string `json:"front"`
	// ReadinessAddress is the address of the readiness check.
	ReadinessAddress string `json:"ready"`
	// DirectoryAddress is the address where callers learn which daemons to connect to.
	DirectoryAddress string `json:"directory"`
	// MetricsAddress is the address that serves counters and latencies. If it is empty, none does.
	MetricsAddress string `json:"metrics"`
	// RelayAddress is the address where other daemons send legs for upstreams in this daemon's zone. If it is
	// empty, they send none.
	RelayAddress string `json:"relay"`
	// StoreAddress is the address of the platform's store.
	StoreAddress string `json:"store"`
	// DirectoryTTL is how long callers may cache an answer of the directory.
	DirectoryTTL clock.Milli `json:"keep"`
	// GracePeriod is the time from the stop signal to the end of the process.
	GracePeriod clock.Milli `json:"grace"`
	// RetryBudget limits the retries and hedges.
	RetryBudget RetryBudget `json:"repeats"`
	// CanaryShare is the largest share of a service's requests that a canary version gets.
	CanaryShare float64 `json:"trial"`
	// Cores is the number of processor cores of the daemon.
	Cores float64 `json:"cores"`
	// CPUShare is the fraction of the cores that the daemon may use.
	CPUShare float64 `json:"share"`
	// MemoryMB is the memory that the process may use, in megabytes.
	MemoryMB int `json:"memory"`
	// GCPercent is the percentage by which the heap may grow between two garbage collections, as GOGC.
	GCPercent int `json:"growth"`
}

// RetryBudget is the budget for the retries and hedges that all daemons together send to a service: Ratio
// for each request to the service, and Slack in addition.
type RetryBudget struct {
	Ratio float64 `json:"ratio"`
	Slack float64 `json:"slack"`
}

// DefaultEntry returns the defaults, which lack only names and addresses.
func DefaultEntry() Entry {
	return Entry{
		DirectoryTTL: 2 * clock.Second, GracePeriod: 6 * clock.Second, RetryBudget: RetryBudget{Ratio: 0.2, Slack: 50},
		CanaryShare: 0.1,
		Cores:       1, CPUShare: 1, MemoryMB: 256, GCPercent: 200,
	}
}

// Check returns all faults of e.
func (e Entry) Check() []Fault {
	faults := nonNil(
		checkName("name", e.Name), checkName("zone", e.Zone),
		checkAddress("front", e.RequestAddress, true), checkAddress("ready", e.ReadinessAddress, true),
		checkAddress("directory", e.DirectoryAddress, true), checkAddress("store", e.StoreAddress, false),
		checkRange("keep", float64(e.DirectoryTTL), float64(100*clock.Millisecond), float64(clock.Minute)),
		checkRange("grace", float64(e.GracePeriod), float64(clock.Second), float64(10*clock.Minute)),
		checkRange("repeats.ratio", e.RetryBudget.Ratio, 0.01, 1), checkRange("repeats.slack", e.RetryBudget.Slack, 0, 1e6),
		checkRange("trial", e.CanaryShare, 0.001, 0.5),
		checkRange("cores", e.Cores, 0.01, 1024), checkRange("share", e.CPUShare, 0.001, 1),
		checkRange("memory", float64(e.MemoryMB), 32, 1e6), checkRange("growth", float64(e.GCPercent), 10, 10000),
	)
	if e.MetricsAddress != "" {
		faults = append(faults, nonNil(checkAddress("metrics", e.MetricsAddress, true))...)
	}
	if e.RelayAddress != "" {
		faults = append(faults, nonNil(checkAddress("relay", e.RelayAddress, true))...)
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

		return nil, errors.Wrap(ErrInvalid, err.Error())
	}

	return nil, nil
}
