package local

import (
	"context"
	"fmt"
	"io"
	"time"

	"jacinthferry/core/clock"
	"jacinthferry/core/config"
	"jacinthferry/core/route"
	"jacinthferry/io/daemon"
	"jacinthferry/io/rpc"
	"jacinthferry/io/settings"
	"jacinthferry/io/timer"
	"jacinthferry/standin/platform"
	"jacinthferry/standin/records"
	"jacinthferry/standin/upstream"

	"github.com/pkg/errors"
)

// ErrReady is returned when the daemons get no configuration in time.
var ErrReady = errors.New("local: daemons are not ready")

// Loopback is an address with a port that the system chooses.
const Loopback = "127.0.0.1:0"

// Shape says how large the deployment is.
type Shape struct {
	Daemons int
	Zones   int
	// Services are the names of the record sets to serve.
	Services []string
	// Upstreams is the number of upstreams of each service.
	Upstreams int
	Shards    int
	Replicas  int
	// Work is the time that an upstream takes for one leg.
	Work clock.Milli
	// Versions are the releases of each service; none means one named "v1".
	Versions []Version
	// Snapshots is how many snapshots each upstream holds; 0 means one.
	Snapshots int
	// Options changes the options of each upstream before it starts.
	Options func(upstream.Options) upstream.Options
	// Settings changes the daemons' settings.
	Settings func(settings.Settings) settings.Settings
}

// Version is a release of every service, with upstreams of its own.
type Version struct {
	Name   string
	Share  float64
	Faults upstream.Faults
}

// Deployment is a running deployment.
type Deployment struct {
	Platform  *platform.Store
	Config    config.Config
	Upstreams []*upstream.Upstream
	Daemons   []*daemon.Daemon
	servers   []io.Closer
	shape     Shape
	store     string
	names     map[*daemon.Daemon]string
}

// Start starts the stand-ins and the daemons. It does not apply the configuration.
func Start(ctx context.Context, shape Shape) (*Deployment, error) {
	d := &Deployment{
		Platform: platform.New(timer.NewClock()), shape: shape, names: make(map[*daemon.Daemon]string),
	}
	store, err := rpc.Listen(Loopback, d.Platform.Handler())
	if err != nil {
		return nil, err
	}
	d.servers = append(d.servers, store)
	d.store = store.Address()
	for i := range shape.Zones {
		d.Config.Zones = append(d.Config.Zones, config.Zone{Name: zone(i)})
	}
	if err := d.populate(ctx); err != nil {
		d.Close()

		return nil, err
	}

	return d, nil
}

// populate starts the upstreams and the daemons.
func (d *Deployment) populate(ctx context.Context) error {
	all, err := records.Load()
	if err != nil {
		return err
	}
	for _, service := range d.shape.Services {
		if err := d.serve(service, all); err != nil {
			return err
		}
	}
	for range d.shape.Daemons {
		if _, err := d.AddDaemon(ctx); err != nil {
			return err
		}
	}

	return nil
}

// AddDaemon starts one more daemon.
func (d *Deployment) AddDaemon(ctx context.Context) (*daemon.Daemon, error) {
	s := settings.Default()
	n := len(d.names)
	s.Name, s.Zone = fmt.Sprintf("daemon-%d", n+1), zone(n%d.shape.Zones)
	s.Caller.Address, s.Operator.Address, s.Peer.Address = Loopback, Loopback, Loopback
	s.Platform.Address = d.store
	if d.shape.Settings != nil {
		s = d.shape.Settings(s)
	}
	started, err := daemon.Start(ctx, s)
	if err != nil {
		return nil, err
	}
	d.names[started] = s.Name
	d.Platform.SetInstance(s.Name, false)
	d.Daemons = append(d.Daemons, started)

	return started, nil
}

// serve starts the upstreams of a service.
func (d *Deployment) serve(service string, all []records.Record) error {
	s := config.Service{Name: service}
	versions := d.shape.Versions
	if len(versions) == 0 {
		versions = []Version{{Name: firstVersion, Share: 1}}
	}
	for _, v := range versions {
		version := config.Version{Name: v.Name, Share: v.Share}
		for i := range d.shape.Upstreams {
			u, err := d.startUpstream(d.options(service, v.Name, i), all)
			if err != nil {
				return err
			}
			u.Zone = zone(i % d.shape.Zones)
			version.Upstreams = append(version.Upstreams, u)
			d.Upstreams[len(d.Upstreams)-1].SetFaults(v.Faults)
		}
		s.Versions = append(s.Versions, version)
	}
	d.Config.Services = append(d.Config.Services, s)

	return nil
}

// firstVersion is the version of a shape that names none.
const firstVersion = "v1"

func (d *Deployment) options(service, version string, i int) upstream.Options {
	name := fmt.Sprintf("%s-%d", service, i)
	if version != firstVersion {
		name = fmt.Sprintf("%s-%s-%d", service, version, i)
	}
	o := upstream.Options{
		Name: name, Service: service, Version: version, Incarnation: "1",
		Snapshot: service + "-2026-12-01", Order: 1, Total: d.shape.Shards, Shards: d.shards(i),
		Slots: 2, Bears: 1, Warm: 4, Work: d.shape.Work, Connections: 25, Grace: 2 * clock.Second, Seed: uint64(i),
	}
	if d.shape.Options != nil {
		o = d.shape.Options(o)
	}

	return o
}

func (d *Deployment) startUpstream(o upstream.Options, all []records.Record) (config.Upstream, error) {
	u := upstream.New(o, all)
	if d.shape.Snapshots > 1 {
		u.Hold(Held(o, d.shape.Snapshots)...)
	}
	server, err := u.Listen(Loopback)
	if err != nil {
		return config.Upstream{}, err
	}
	d.servers = append(d.servers, server)
	d.Upstreams = append(d.Upstreams, u)
	d.Platform.SetInstance(o.Name, false)

	return config.Upstream{
		Name: o.Name, Address: server.Address(), Slots: o.Slots, Connections: o.Connections, Bears: o.Bears,
	}, nil
}

// Held returns the snapshots that an upstream holds: the n newest, up to the one that its options
// name. They are a day apart.
func Held(o upstream.Options, n int) []route.Held {
	var list []route.Held
	for i := range n {
		h := route.Held{Name: o.Snapshot, Order: o.Order + uint64(n-1-i), Total: o.Total, Shards: o.Shards}
		if i > 0 {
			h.Name = fmt.Sprintf("%s-%d", o.Snapshot, i)
		}
		list = append(list, h)
	}

	return list
}

// shards returns the shards of the i-th upstream: replicas of one shard are in different zones
// where there are enough.
func (d *Deployment) shards(i int) []int {
	var list []int
	for shard := range d.shape.Shards {
		for r := range d.shape.Replicas {
			if (shard+r)%d.shape.Upstreams == i {
				list = append(list, shard)
			}
		}
	}

	return list
}

// readyTries and readyWait bound the wait for a configuration.
const (
	readyTries = 800
	readyWait  = 25 * time.Millisecond
)

// AwaitReady waits until every daemon has a configuration.
func (d *Deployment) AwaitReady() error {
	for range readyTries {
		ready := true
		for _, one := range d.Daemons {
			ready = ready && one.Ready()
		}
		if ready {
			return nil
		}
		time.Sleep(readyWait)
	}

	return ErrReady
}

// Close stops everything.
func (d *Deployment) Close() {
	for _, one := range d.Daemons {
		one.Close()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
}

func zone(i int) string { return "zone-" + string(rune('a'+i)) }
