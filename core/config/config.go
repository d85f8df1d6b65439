package config

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"
)

// ErrDecode is returned by Decode for text that is not a configuration.
var ErrDecode = errors.New("config: cannot decode")

// Config is one revision of the operators' configuration.
type Config struct {
	Zones    []Zone    `json:"zones"`
	Services []Service `json:"services"`
}

// Zone is an availability zone.
type Zone struct {
	Name string `json:"name"`
	// Out is set while operators keep the zone out of service.
	Out bool `json:"out,omitempty"`
}

// Service is a set of shards that callers search under one name.
type Service struct {
	Name string `json:"name"`
	// Trusted lets a request that was not seen before run on all its upstreams at once, instead of on a
	// single one first.
	Trusted  bool      `json:"trusted,omitempty"`
	Versions []Version `json:"versions"`
}

// Version is one release of a service's upstreams.
type Version struct {
	Name string `json:"name"`
	// Share is the version's weight in the traffic split, relative to the other versions.
	Share     float64    `json:"share"`
	Upstreams []Upstream `json:"upstreams"`
}

// Upstream is one backend process.
type Upstream struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Slots is the number of legs that it can run at once.
	Slots int `json:"slots"`
	// MaxConnections is the maximum number of open connections that it accepts.
	MaxConnections int `json:"connections"`
	// ColdLimit is the number of legs that it can run at once while it is cold.
	ColdLimit int `json:"bears"`
	// Drain is set while operators keep new work off the upstream.
	Drain bool `json:"drain,omitempty"`
}

// Decode parses text as a Config and refuses unknown fields.
func Decode(text []byte) (Config, error) {
	var c Config
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&c); err != nil {
		return Config{}, errors.Wrapf(ErrDecode, "%v", err)
	}
	if decoder.More() {
		return Config{}, errors.Wrap(ErrDecode, "text after the JSON value")
	}

	return c, nil
}

// Encode returns c as JSON.
func (c Config) Encode() ([]byte, error) {
	text, err := json.Marshal(c)

	return text, errors.Wrap(err, "config: cannot encode")
}

// Service returns the service with the given name.
func (c Config) Service(name string) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}

	return Service{}, false
}

// ZoneOut reports whether operators keep the zone out of service. It is false for an unknown zone.
func (c Config) ZoneOut(zone string) bool {
	for _, z := range c.Zones {
		if z.Name == zone {
			return z.Out
		}
	}

	return false
}

// WithZoneOut returns a copy of c in which the zone is out of service if out is set, and else in service.
func (c Config) WithZoneOut(name string, out bool) Config {
	c.Zones = slices.Clone(c.Zones)
	for i := range c.Zones {
		if c.Zones[i].Name == name {
			c.Zones[i].Out = out
		}
	}

	return c
}
