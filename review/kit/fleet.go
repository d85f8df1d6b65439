package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// errNotReady is returned when the daemons do not serve in time.
var errNotReady = errors.New("kit: the daemons are not ready in time")

const (
	// readyTimeout is how long the daemons may take to serve after their start.
	readyTimeout = 15 * time.Second
	// daemonsPerZone is how many daemons each zone has.
	daemonsPerZone = 2
	// host is the host of all routes.
	host = "pupu76.example"
)

// daemon is an entry daemon, which the script starts as a process.
type daemon struct {
	name, zone, front, ready, directory, metrics, relay string
	link                                                *link
	file                                                string
}

// fleet is a small deployment: the store, backends and daemons.
type fleet struct {
	ctx     context.Context //nolint:containedctx // It spans the whole case.
	dir     string
	trouble bool
	store   *store
	daemons []*daemon
	started time.Time
	// taken holds the addresses that were given to daemons.
	taken map[string]bool

	mu       sync.Mutex
	record   *os.File
	arrivals []arrival
	crashes  int
	config   operatorConfig
}

// newFleet opens the record and writes the settings of the daemons.
func newFleet(ctx context.Context, dir, record string, trouble bool, zones []string) (*fleet, error) {
	file, err := os.Create(filepath.Clean(record))
	if err != nil {
		return nil, errors.Wrap(err, "kit: cannot open the record")
	}
	f := &fleet{
		ctx: ctx, dir: dir, trouble: trouble, store: newStore(), record: file, started: time.Now(),
		taken: make(map[string]bool),
	}
	go f.store.run(ctx)
	for n := range daemonsPerZone * len(zones) {
		if err := f.addDaemon(n, zones[n%len(zones)]); err != nil {
			return nil, err
		}
	}

	return f, nil
}

const (
	// firstPort and portCount bound the ports of daemons. They lie below the range that the system gives to outgoing
	// connections, so that a port which is free stays so until the daemon opens it.
	firstPort = 12000
	portCount = 18000
	// portAttempts is how many ports are tried.
	portAttempts = 100
)

// freeAddress returns a loopback address with a free port.
func (f *fleet) freeAddress(ctx context.Context) (string, error) {
	for range portAttempts {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		if f.taken[address] {
			continue
		}
		f.taken[address] = true
		if l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address); err == nil {
			return address, errors.Wrap(l.Close(), "kit: cannot free a port")
		}
	}

	return "", errors.New("kit: no free port")
}

// addDaemon writes the settings of a daemon, in the form of deploy/entry.json, and opens its path to the store.
func (f *fleet) addDaemon(n int, zone string) error {
	d := &daemon{name: "edge-" + zone + "-" + strconv.Itoa(n), zone: zone, link: newLink(f.store)}
	for _, a := range []*string{&d.front, &d.ready, &d.directory, &d.metrics, &d.relay} {
		var err error
		if *a, err = f.freeAddress(f.ctx); err != nil {
			return err
		}
	}
	listener, err := (&net.ListenConfig{}).Listen(f.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "kit: no free port")
	}
	server := &http.Server{Handler: d.link, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	text, err := json.MarshalIndent(map[string]any{
		"name": d.name, "zone": d.zone, "front": d.front, "ready": d.ready, "directory": d.directory,
		"metrics": d.metrics, "relay": d.relay, "store": listener.Addr().String(), "keep": "2s", "grace": "6s",
		"repeats": map[string]float64{"ratio": 0.2, "slack": 54}, "trial": 0.1,
		"cores": 1, "share": 0.4, "memory": 284,
	}, "", "  ")
	if err != nil {
		return errors.Wrap(err, "kit: cannot encode settings")
	}
	d.file = filepath.Join(f.dir, fmt.Sprintf("daemon-%d.json", n))
	f.daemons = append(f.daemons, d)

	return errors.Wrap(os.WriteFile(d.file, text, 0o600), "kit: cannot write settings")
}

// launch lets the script start the daemons and waits until all are ready.
func (f *fleet) launch() error {
	//nolint:gosec // The script gives the folder.
	if err := os.WriteFile(filepath.Join(f.dir, "start"), nil, 0o600); err != nil {
		return errors.Wrap(err, "kit: cannot write the start file")
	}
	end := time.Now().Add(readyTimeout)
	for _, d := range f.daemons {
		for !f.isReady(d) {
			if time.Now().After(end) {
				return errNotReady
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	// The daemons know each other some seconds after the start.
	time.Sleep(5 * time.Second)

	return nil
}

// isReady asks a daemon whether it is ready.
func (f *fleet) isReady(d *daemon) bool {
	ctx, cancel := context.WithTimeout(f.ctx, time.Second)
	defer cancel()
	//nolint:gosec // All addresses are those of the fleet.
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.ready+"/-/ready", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r) //nolint:gosec // As above.
	if err != nil {
		return false
	}
	_ = response.Body.Close()

	return response.StatusCode == http.StatusOK
}

// logf writes a line to the record.
func (f *fleet) logf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(f.record, "%8.3f %s\n", time.Since(f.started).Seconds(), fmt.Sprintf(format, args...))
}

// addArrival records a request that a backend received.
func (f *fleet) addArrival(a arrival) {
	f.mu.Lock()
	f.arrivals = append(f.arrivals, a)
	f.mu.Unlock()
	f.logf("backend %s %s %s id=%s at=%.3f ran=%t ok=%t cold=%t misdirected=%t", a.Backend, a.Service, a.Version, a.ID,
		a.At.Sub(f.started).Seconds(), a.Ran, a.OK, a.Cold, a.Misdirected)
}

// addCrash counts the crash of a backend.
func (f *fleet) addCrash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes++
}

// crashCount returns how many backends have crashed.
func (f *fleet) crashCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.crashes
}

// allArrivals returns the requests that backends have received.
func (f *fleet) allArrivals() []arrival {
	f.mu.Lock()
	defer f.mu.Unlock()

	return append([]arrival(nil), f.arrivals...)
}

// routeConfig is a route of the operator's configuration.
type routeConfig struct {
	Name     string   `json:"name"`
	Host     string   `json:"host"`
	Prefix   string   `json:"prefix"`
	Kind     string   `json:"kind"`
	Timeout  int      `json:"timeoutMs"`
	Slo      int      `json:"sloMs"`
	Priority int      `json:"priority"`
	Service  string   `json:"service,omitempty"`
	Gather   []string `json:"gather,omitempty"`
	Attempts int      `json:"attempts"`
	TopK     int      `json:"topK,omitempty"`
	Least    float64  `json:"oldestVersion,omitempty"`
}

// serviceConfig is a service of the operator's configuration.
type serviceConfig struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"healthPath"`
	MaxConns   int     `json:"maxConns"`
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	WarmupS    float64 `json:"warmupS"`
	WarmupPerS float64 `json:"warmupPerS"`
}

// operatorConfig is the operator's configuration.
type operatorConfig struct {
	Version  int             `json:"version"`
	Routes   []routeConfig   `json:"routes"`
	Services []serviceConfig `json:"backends"`
	Limits   map[string]int  `json:"limits"`
}

// writeConfig writes the next version of the configuration and returns when the store acknowledged it.
func (f *fleet) writeConfig(change func(*operatorConfig)) (time.Time, error) {
	f.mu.Lock()
	f.config.Version += 3
	f.config.Limits = map[string]int{
		"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
	}
	change(&f.config)
	version := f.config.Version
	text, err := json.Marshal(f.config)
	f.mu.Unlock()
	if err != nil {
		return time.Time{}, errors.Wrap(err, "kit: cannot encode the configuration")
	}
	f.store.put("op/config", text)
	at := time.Now()
	f.logf("operator configuration %d acknowledged, %d bytes", version, len(text))

	return at, nil
}
