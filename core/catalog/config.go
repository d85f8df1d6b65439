package catalog

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"jacinthferry/core/clock"
)

// WeightedService is a service and its weight in a route that splits its requests between services.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route describes how the requests below one path prefix of a host are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent is set when a request may run more than once.
	Idempotent bool
	// Timeout is the longest time that a request waits for an answer.
	Timeout clock.Milli
	// Objective is the latency within which an answer is worth most.
	Objective clock.Milli
	// Attempts is the largest number of upstreams of one service that a request may be sent to.
	Attempts int
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Exactly one of Service, Split and Shards is set. A plain route sends a request to Service, a
	// weighted one to one service of Split, and one that gathers to each service of Shards.
	Service string
	Split   []WeightedService
	Shards  []string
	// Top is how many records a gathered answer holds, and MinCoverage the smallest share of the shards that
	// it may cover.
	Top         int
	MinCoverage float64
	// reservedShards is the most shards that an answer of a more urgent route over the same shards needs.
	reservedShards int
}

// Gathers reports whether a request goes to every shard and the answers are merged.
func (r *Route) Gathers() bool { return len(r.Shards) > 0 }

// MinShards returns how many shards an answer must cover.
func (r *Route) MinShards() int {
	if !r.Gathers() {
		return 1
	}
	// The small term keeps rounding errors, as in 0.9 * 20, from adding a shard.
	return max(1, int(math.Ceil(r.MinCoverage*float64(len(r.Shards))-1e-9)))
}

// ReservedShards returns how many shards must have room for a request where room is scarce: those that its own answer
// needs, or an answer of a more urgent route over the same shards. A request that can do with fewer shards would
// otherwise take the room from more urgent ones.
func (r *Route) ReservedShards() int { return max(r.MinShards(), r.reservedShards) }

// Service is the configuration of the upstreams of one service.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConnections is the largest number of open connections that an upstream accepts from all callers
	// together, or 0 for no limit.
	MaxConnections int
	// WarmupRate is how many requests a second a cold upstream can take, or 0 for no limit.
	WarmupRate float64
}

// Limits bound what a caller may send.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes are in bytes.
	MaxHeaderBytes int
	MaxBodyBytes   int
	// IdleTimeout is how long a connection may stay open without a request.
	IdleTimeout clock.Milli
}

// Config is one version of the operators' configuration.
type Config struct {
	// Version is the number that the operators gave it, and Revision the store's revision of its entry.
	Version  int64
	Revision int64
	Services map[string]Service
	Limits   Limits
	// routes holds the routes by host and path prefix.
	routes map[string]map[string]*Route
}

// NewConfig returns a configuration with the given routes.
func NewConfig(version, revision int64, routes []Route, services []Service, limits Limits) *Config {
	c := &Config{
		Version: version, Revision: revision, Limits: limits,
		Services: make(map[string]Service, len(services)),
		routes:   make(map[string]map[string]*Route),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for i := range routes {
		r := &routes[i]
		if c.routes[r.Host] == nil {
			c.routes[r.Host] = make(map[string]*Route)
		}
		c.routes[r.Host][r.Prefix] = r
	}
	reserveShards(routes)

	return c
}

// reserveShards sets the reserved shards of all routes.
func reserveShards(routes []Route) {
	shared := make(map[string][]*Route)
	for i := range routes {
		if r := &routes[i]; r.Gathers() {
			key := strings.Join(r.Shards, " ")
			shared[key] = append(shared[key], r)
		}
	}
	for _, list := range shared {
		slices.SortFunc(list, func(a, b *Route) int { return cmp.Compare(a.Priority, b.Priority) })
		// urgent is the most that a route of an earlier priority needs, and most that of any route so far.
		urgent, most := 0, 0
		for i, r := range list {
			if i > 0 && r.Priority > list[i-1].Priority {
				urgent = most
			}
			r.reservedShards = urgent
			most = max(most, r.MinShards())
		}
	}
}

// Match returns the route of the host whose prefix is the longest that path begins with, or nil. A host
// with a port that has no routes of its own is looked up without the port. Prefixes begin and end with a
// slash.
func (c *Config) Match(host, path string) *Route {
	prefixes := c.routes[host]
	if prefixes == nil {
		prefixes = c.routes[withoutPort(host)]
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}

	return nil
}

// HasRoute reports whether the configuration has a route with the given name.
func (c *Config) HasRoute(name string) bool {
	for _, prefixes := range c.routes {
		for _, r := range prefixes {
			if r.Name == name {
				return true
			}
		}
	}

	return false
}

func withoutPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		return host[:i]
	}

	return host
}
