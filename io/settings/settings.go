package settings

import (
	"os"
	"regexp"
	"sync"

	"github.com/pkg/errors"

	"jacinthferry/core/fault"
	"jacinthferry/io/schema"
)

// ErrSettings is returned for settings that cannot be used.
var ErrSettings = errors.New("settings: not usable")

// Settings are what one daemon is told at its start.
type Settings struct {
	// Name tells this daemon from all others.
	Name string `json:"name"`
	// Zone is the availability zone that the daemon runs in.
	Zone string `json:"zone"`
	// Caller, Operator and Peer are listened on, one for each sort of client.
	Caller   Endpoint `json:"caller"`
	Operator Endpoint `json:"operator"`
	Peer     Endpoint `json:"peer"`
	// Platform is where the platform's store is called, and Upstream how upstreams are.
	Platform Endpoint `json:"platform"`
	Upstream Upstream `json:"upstream,omitzero"`
	Query    Query    `json:"query"`
	Home     Home     `json:"home"`
	Control  Control  `json:"control"`
	Process  Process  `json:"process"`
}

// Default returns settings that lack only names and addresses.
func Default() Settings {
	return Settings{Query: defaultQuery(), Home: defaultHome(), Control: defaultControl(), Process: defaultProcess()}
}

// Check returns everything that is wrong with s.
func (s Settings) Check() []Fault {
	found := faults(name("name", s.Name), name("zone", s.Zone))
	found = append(found, s.Caller.check("caller", true)...)
	found = append(found, s.Operator.check("operator", true)...)
	found = append(found, s.Peer.check("peer", true)...)
	found = append(found, s.Platform.check("platform", false)...)
	found = append(found, s.Upstream.TLS.check("upstream.tls")...)
	found = append(found, s.Query.check()...)
	found = append(found, s.Home.check()...)
	found = append(found, s.Process.check()...)

	return append(found, s.Control.check()...)
}

func name(path, text string) *Fault {
	if goodName.MatchString(text) {
		return nil
	}

	return wrong(path, "is %q, want 1 to 63 letters, digits, dots, dashes and underscores", text)
}

var goodName = regexp.MustCompile(`^[A-Za-z0-9._-]{1,63}$`)

// Read reads the file at path over the defaults. It refuses unknown fields.
func Read(path string) (Settings, error) {
	var s Settings
	err := readFile(path, func(text []byte) (found []Fault, err error) {
		s, found, err = Parse(text)

		return found, err
	})

	return s, err
}

// readFile reads the file at path with parse and turns what is wrong with it into one error that
// wraps ErrSettings.
func readFile(path string, parse func(text []byte) ([]Fault, error)) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(ErrSettings, err.Error())
	}
	found, err := parse(text)
	if err != nil {
		return errors.Wrapf(ErrSettings, "%s: %v", path, err)
	}
	if len(found) > 0 {
		return errors.Wrapf(ErrSettings, "%s:\n%s", path, fault.Text(found))
	}

	return nil
}

// Parse reads text over the defaults and returns everything that is wrong with it: by the schema
// first, and by meaning once the schema finds nothing. The error says that text is not JSON.
func Parse(text []byte) (Settings, []Fault, error) {
	form, err := Schema()
	if err != nil {
		return Settings{}, nil, err
	}
	s := Default()
	found, err := parse(form, text, &s)
	if err != nil || len(found) > 0 {
		return Settings{}, found, err
	}

	return s, s.Check(), nil
}

// Schema returns the schema of a settings file, which is compiled once.
var Schema = sync.OnceValues(func() (*schema.Schema, error) {
	return schema.For("jacinthferry settings", Settings{})
})
