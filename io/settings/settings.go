package settings

import (
	"os"
	"regexp"
	"sync"

	"github.com/pkg/errors"

	"jacinthferry/core/fault"
	"jacinthferry/io/schema"
)

// ErrInvalid is returned for a settings file that cannot be read or is invalid.
var ErrInvalid = errors.New("settings: invalid settings")

// Settings holds the settings of a daemon.
type Settings struct {
	// Name is the unique name of the daemon.
	Name string `json:"name"`
	// Zone is the availability zone that the daemon runs in.
	Zone string `json:"zone"`
	// Caller, Operator and Peer are the listeners for callers, operators and other daemons.
	Caller   Endpoint `json:"caller"`
	Operator Endpoint `json:"operator"`
	Peer     Endpoint `json:"peer"`
	// Platform is the endpoint of the platform's store, and Upstream configures the connections to
	// upstreams.
	Platform Endpoint `json:"platform"`
	Upstream Upstream `json:"upstream,omitzero"`
	Query    Query    `json:"query"`
	Home     Home     `json:"home"`
	Control  Control  `json:"control"`
	Process  Process  `json:"process"`
}

// Default returns the defaults, which lack only names and addresses.
func Default() Settings {
	return Settings{Query: defaultQuery(), Home: defaultHome(), Control: defaultControl(), Process: defaultProcess()}
}

// Check returns all faults of s.
func (s Settings) Check() []Fault {
	faults := nonNil(checkName("name", s.Name), checkName("zone", s.Zone))
	faults = append(faults, s.Caller.check("caller", true)...)
	faults = append(faults, s.Operator.check("operator", true)...)
	faults = append(faults, s.Peer.check("peer", true)...)
	faults = append(faults, s.Platform.check("platform", false)...)
	faults = append(faults, s.Upstream.TLS.check("upstream.tls")...)
	faults = append(faults, s.Query.check()...)
	faults = append(faults, s.Home.check()...)
	faults = append(faults, s.Process.check()...)

	return append(faults, s.Control.check()...)
}

func checkName(path, text string) *Fault {
	if namePattern.MatchString(text) {
		return nil
	}

	return newFault(path, "is %q, want 1 to 63 letters, digits, dots, dashes and underscores", text)
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,63}$`)

// Read reads the file at path. Missing fields get their defaults; unknown fields are refused. The error
// wraps [ErrSettings].
func Read(path string) (Settings, error) {
	var s Settings
	err := readFile(path, func(text []byte) (faults []Fault, err error) {
		s, faults, err = Parse(text)

		return faults, err
	})

	return s, err
}

// readFile parses the file at path and joins its faults in one error that wraps [ErrSettings].
func readFile(path string, parse func(text []byte) ([]Fault, error)) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(ErrInvalid, err.Error())
	}
	faults, err := parse(text)
	if err != nil {
		return errors.Wrapf(ErrInvalid, "%s: %v", path, err)
	}
	if len(faults) > 0 {
		return errors.Wrapf(ErrInvalid, "%s:\n%s", path, fault.Text(faults))
	}

	return nil
}

// Parse decodes text and returns all its faults. Missing fields get their defaults. Values are checked
// only if text conforms to the schema. The error is not nil if text is not valid JSON.
func Parse(text []byte) (Settings, []Fault, error) {
	docSchema, err := Schema()
	if err != nil {
		return Settings{}, nil, err
	}
	s := Default()
	faults, err := parse(docSchema, text, &s)
	if err != nil || len(faults) > 0 {
		return Settings{}, faults, err
	}

	return s, s.Check(), nil
}

// Schema returns the schema of a daemon's settings file. It is compiled once.
var Schema = sync.OnceValues(func() (*schema.Schema, error) {
	return schema.For("jacinthferry settings", Settings{})
})
