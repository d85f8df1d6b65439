package catalog

import (
	"strings"

	"jacinthferry/core/clock"
)

// Share is one part of a route whose requests are split between services.
type Share struct {
	Service string
	Weight  float64
}

// Route says how the requests below one path prefix of a host are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent is set when a request may run more than once.
	Idempotent bool
	// Timeout is how long a request is kept waiting at most.
	Timeout clock.Milli
	// Objective is the latency within which an answer is worth most.
	Objective clock.Milli
	// Attempts is how many upstreams of one service a request may be sent to.
	Attempts int
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Service is asked by a plain route, one of Split by a weighted one, and each of Shards by a
	// route that gathers. One of the three is set.
	Service string
	Split   []Share
	Shards  []string
	// Top is how many records a gathered answer holds, and Least the share of the shards that it
	// covers at least.
	Top   int
	Least float64
}

// Gathers reports whether requests go to every shard.
func (r *Route) Gathers() bool { return len(r.Shards) > 0 }

// Services returns the services that requests of the route may be sent to.
func (r *Route) Services() []string {
	switch {
	case r.Gathers():
		return r.Shards
	case len(r.Split) == 0:
		return []string{r.Service}
	}
	list := make([]string, 0, len(r.Split))
	for _, s := range r.Split {
		list = append(list, s.Service)
	}

	return list
}

// Service is what the configuration says of the upstreams of one service.
type Service struct {
	Name string
	// Health is the path of the health check.
	Health string
	// Connections is how many open connections an upstream accepts from all callers together, or 0
	// for no limit.
	Connections int
	// Rate is how many requests a second a cold upstream bears, or 0 for no limit.
	Rate float64
}

// Limits bound what a caller may send.
type Limits struct {
	// Header and Body are in bytes.
	Header int
	Body   int
	// Idle is how long a connection may stay unused.
	Idle clock.Milli
}

// Config is one version of the operators' configuration.
type Config struct {
	// Version is the operators' number, and Revision the store's.
	Version  int64
	Revision int64
	Services map[string]Service
	Limits   Limits
	hosts    map[string]map[string]*Route
}

// NewConfig returns a configuration with the given routes.
func NewConfig(version, revision int64, routes []Route, services []Service, limits Limits) *Config {
	c := &Config{
		Version: version, Revision: revision, Limits: limits,
		Services: make(map[string]Service, len(services)),
		hosts:    make(map[string]map[string]*Route),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for i := range routes {
		r := &routes[i]
		if c.hosts[r.Host] == nil {
			c.hosts[r.Host] = make(map[string]*Route)
		}
		c.hosts[r.Host][r.Prefix] = r
	}

	return c
}

// Match returns the route of the host with the longest prefix that path begins with, or nil.
// Prefixes begin and end with a slash.
func (c *Config) Match(host, path string) *Route {
	prefixes := c.hosts[host]
	if prefixes == nil {
		prefixes = c.hosts[withoutPort(host)]
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}

	return nil
}

func withoutPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		return host[:i]
	}

	return host
}
