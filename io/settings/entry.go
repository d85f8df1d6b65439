package settings

import (
	"encoding/json"
	"sync"

	"github.com/pkg/errors"

	"jacinthferry/core/clock"
	"jacinthferry/io/schema"
)

// Entry is what one entry daemon is told at its start. It serves the routes that the operators keep
// in the platform's store.
type Entry struct {
	// Name tells this daemon from all others.
	Name string `json:"name"`
	// Zone is the availability zone that the daemon runs in.
	Zone string `json:"zone"`
	// Front takes requests, Ready tells whether they are taken, and Directory tells callers where to
	// connect. Metrics serves counters and latencies. Each is an IP number and a port.
	Front     string `json:"front"`
	Ready     string `json:"ready"`
	Directory string `json:"directory"`
	Metrics   string `json:"metrics"`
	// Relay is where other daemons hand over legs to upstreams of this one's zone. Without it none do.
	Relay string `json:"relay"`
	// Store is where the platform's store is called.
	Store string `json:"store"`
	// Keep is for how long callers may keep a directory's answer.
	Keep clock.Milli `json:"keep"`
	// Grace is the time between the signal to stop and the end of the process.
	Grace clock.Milli `json:"grace"`
	// Repeats bounds the requests that are sent once more.
	Repeats Repeats `json:"repeats"`
	// Trial is the share of a service's requests that a new version gets at most while it is tried.
	Trial float64 `json:"trial"`
	// Cores is how many processor cores the daemon has, and Share the part of them that it may use.
	Cores float64 `json:"cores"`
	Share float64 `json:"share"`
	// Memory is what the process may use, in megabytes.
	Memory int `json:"memory"`
	// Growth is by how many percent the heap may grow between two garbage collections.
	Growth int `json:"growth"`
}

// Repeats bounds the requests that all daemons together send to a service once more: Ratio for each
// request to the service, and Slack beside that.
type Repeats struct {
	Ratio float64 `json:"ratio"`
	Slack float64 `json:"slack"`
}

// DefaultEntry returns settings that lack only names and addresses.
func DefaultEntry() Entry {
	return Entry{
		Keep: 2 * clock.Second, Grace: 6 * clock.Second, Repeats: Repeats{Ratio: 0.2, Slack: 50}, Trial: 0.1,
		Cores: 1, Share: 1, Memory: 256, Growth: 200,
	}
}

// Check returns everything that is wrong with e.
func (e Entry) Check() []Fault {
	found := faults(
		name("name", e.Name), name("zone", e.Zone),
		address("front", e.Front, true), address("ready", e.Ready, true), address("directory", e.Directory, true),
		address("store", e.Store, false),
		within("keep", float64(e.Keep), float64(100*clock.Millisecond), float64(clock.Minute)),
		within("grace", float64(e.Grace), float64(clock.Second), float64(10*clock.Minute)),
		within("repeats.ratio", e.Repeats.Ratio, 0.01, 1), within("repeats.slack", e.Repeats.Slack, 0, 1e6),
		within("trial", e.Trial, 0.001, 0.5),
		within("cores", e.Cores, 0.01, 1024), within("share", e.Share, 0.001, 1),
		within("memory", float64(e.Memory), 32, 1e6), within("growth", float64(e.Growth), 10, 10000),
	)
	if e.Metrics != "" {
		found = append(found, faults(address("metrics", e.Metrics, true))...)
	}
	if e.Relay != "" {
		found = append(found, faults(address("relay", e.Relay, true))...)
	}

	return found
}

// ReadEntry reads the file at path over the defaults. It refuses unknown fields.
func ReadEntry(path string) (Entry, error) {
	var e Entry
	err := readFile(path, func(text []byte) (found []Fault, err error) {
		e, found, err = ParseEntry(text)

		return found, err
	})

	return e, err
}

// ParseEntry reads text over the defaults and returns everything that is wrong with it. The error
// says that text is not JSON.
func ParseEntry(text []byte) (Entry, []Fault, error) {
	form, err := EntrySchema()
	if err != nil {
		return Entry{}, nil, err
	}
	e := DefaultEntry()
	found, err := parse(form, text, &e)
	if err != nil || len(found) > 0 {
		return Entry{}, found, err
	}

	return e, e.Check(), nil
}

// EntrySchema returns the schema of an entry daemon's settings file, which is compiled once.
var EntrySchema = sync.OnceValues(func() (*schema.Schema, error) {
	return schema.For("jacinthferry entry settings", Entry{})
})

// parse checks text against a schema and decodes it over what into holds.
func parse(form *schema.Schema, text []byte, into any) ([]Fault, error) {
	found, err := form.Check(text)
	if err != nil || len(found) > 0 {
		return found, err //nolint:wrapcheck // The schema's error says what is wrong.
	}
	if err := json.Unmarshal(text, into); err != nil {
		if f, named := schema.TypeFault(err); named {
			return []Fault{f}, nil
		}

		return nil, errors.Wrap(ErrSettings, err.Error())
	}

	return nil, nil
}
