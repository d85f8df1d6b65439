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

// ErrNotReady is returned if the daemons get no configuration in time.
var ErrNotReady = errors.New("local: timed out waiting for the configuration of the daemons")

// Loopback is a listen address on 127.0.0.1 with a port that the system chooses.
const Loopback = "127.0.0.1:0"

// Options configures the size and the parts of a deployment.
type Options struct {
	Daemons int
	Zones   int
	// Services are the names of the services to start, each with its own records.
	Services []string
	// Upstreams is the number of upstreams of each version of a service.
	Upstreams int
	Shards    int
	Replicas  int
	// ServiceTime is the service time of a leg.
	ServiceTime clock.Milli
	// Versions are the versions of each service; if empty, there is one named "v1".
	Versions []Version
	// Snapshots is the number of snapshots that each upstream holds; 0 means one.
	Snapshots int
	// UpstreamOptions returns the options to start an upstream with, given the default ones. It may be nil.
	UpstreamOptions func(upstream.Options) upstream.Options
	// DaemonSettings returns the settings to start a daemon with, given the default ones. It may be nil.
	DaemonSettings func(settings.Settings) settings.Settings
}

// Version is a version of every service, with its own upstreams.
type Version struct {
	Name   string
	Share  float64
	Faults upstream.Faults
}

// Deployment is a running deployment of stand-ins and daemons.
type Deployment struct {
	Platform     *platform.Store
	Config       config.Config
	Upstreams    []*upstream.Upstream
	Daemons      []*daemon.Daemon
	servers      []io.Closer
	options      Options
	storeAddress string
	daemonNames  map[*daemon.Daemon]string
}

// Start starts the stand-ins and the daemons. The caller has to apply the configuration and to call Close.
func Start(ctx context.Context, options Options) (*Deployment, error) {
	d := &Deployment{
		Platform: platform.New(timer.NewClock()), options: options, daemonNames: make(map[*daemon.Daemon]string),
	}
	store, err := rpc.Listen(Loopback, d.Platform.Handler())
	if err != nil {
		return nil, err
	}
	d.servers = append(d.servers, store)
	d.storeAddress = store.Address()
	for i := range options.Zones {
		d.Config.Zones = append(d.Config.Zones, config.Zone{Name: zoneName(i)})
	}
	if err := d.startAll(ctx); err != nil {
		d.Close()

		return nil, err
	}

	return d, nil
}

// startAll starts the upstreams and the daemons.
func (d *Deployment) startAll(ctx context.Context) error {
	all, err := records.Load()
	if err != nil {
		return err
	}
	for _, service := range d.options.Services {
		if err := d.startService(service, all); err != nil {
			return err
		}
	}
	for range d.options.Daemons {
		if _, err := d.AddDaemon(ctx); err != nil {
			return err
		}
	}

	return nil
}

// AddDaemon starts another daemon and adds it to d.Daemons.
func (d *Deployment) AddDaemon(ctx context.Context) (*daemon.Daemon, error) {
	s := settings.Default()
	n := len(d.daemonNames)
	s.Name, s.Zone = fmt.Sprintf("daemon-%d", n+1), zoneName(n%d.options.Zones)
	s.Caller.Address, s.Operator.Address, s.Peer.Address = Loopback, Loopback, Loopback
	s.Platform.Address = d.storeAddress
	if d.options.DaemonSettings != nil {
		s = d.options.DaemonSettings(s)
	}
	started, err := daemon.Start(ctx, s)
	if err != nil {
		return nil, err
	}
	d.daemonNames[started] = s.Name
	d.Platform.SetInstance(s.Name, false)
	d.Daemons = append(d.Daemons, started)

	return started, nil
}

// startService starts the upstreams of a service and adds it to the configuration.
func (d *Deployment) startService(service string, all []records.Record) error {
	s := config.Service{Name: service}
	versions := d.options.Versions
	if len(versions) == 0 {
		versions = []Version{{Name: defaultVersion, Share: 1}}
	}
	for _, v := range versions {
		version := config.Version{Name: v.Name, Share: v.Share}
		for i := range d.options.Upstreams {
			u, err := d.startUpstream(d.upstreamOptions(service, v.Name, i), all)
			if err != nil {
				return err
			}
			u.Zone = zoneName(i % d.options.Zones)
			version.Upstreams = append(version.Upstreams, u)
			d.Upstreams[len(d.Upstreams)-1].SetFaults(v.Faults)
		}
		s.Versions = append(s.Versions, version)
	}
	d.Config.Services = append(d.Config.Services, s)

	return nil
}

// defaultVersion is the name of the version if the options have none.
const defaultVersion = "v1"

func (d *Deployment) upstreamOptions(service, version string, i int) upstream.Options {
	name := fmt.Sprintf("%s-%d", service, i)
	if version != defaultVersion {
		name = fmt.Sprintf("%s-%s-%d", service, version, i)
	}
	o := upstream.Options{
		Name: name, Service: service, Version: version, Incarnation: "1",
		Snapshot: service + "-2026-12-01", Order: 1, Total: d.options.Shards, Shards: d.shardsOf(i),
		Slots: 2, ColdLimit: 1, WarmupLegs: 4, ServiceTime: d.options.ServiceTime,
		MaxConnections: 25, DrainGrace: 2 * clock.Second, Seed: uint64(i),
	}
	if d.options.UpstreamOptions != nil {
		o = d.options.UpstreamOptions(o)
	}

	return o
}

func (d *Deployment) startUpstream(o upstream.Options, all []records.Record) (config.Upstream, error) {
	u := upstream.New(o, all)
	if d.options.Snapshots > 1 {
		u.SetSnapshots(SnapshotsOf(o, d.options.Snapshots)...)
	}
	server, err := u.Listen(Loopback)
	if err != nil {
		return config.Upstream{}, err
	}
	d.servers = append(d.servers, server)
	d.Upstreams = append(d.Upstreams, u)
	d.Platform.SetInstance(o.Name, false)

	return config.Upstream{
		Name: o.Name, Address: server.Address(), Slots: o.Slots, MaxConnections: o.MaxConnections, ColdLimit: o.ColdLimit,
	}, nil
}

// SnapshotsOf returns n snapshots, a day apart, for an upstream to hold. The newest is the one named in its options.
func SnapshotsOf(o upstream.Options, n int) []route.HeldSnapshot {
	var list []route.HeldSnapshot
	for i := range n {
		h := route.HeldSnapshot{Name: o.Snapshot, Order: o.Order + uint64(n-1-i), Total: o.Total, Shards: o.Shards}
		if i > 0 {
			h.Name = fmt.Sprintf("%s-%d", o.Snapshot, i)
		}
		list = append(list, h)
	}

	return list
}

// shardsOf returns the shards of the i-th upstream. The replicas of a shard are in different zones where there
// are enough.
func (d *Deployment) shardsOf(i int) []int {
	var list []int
	for shard := range d.options.Shards {
		for replica := range d.options.Replicas {
			if (shard+replica)%d.options.Upstreams == i {
				list = append(list, shard)
			}
		}
	}

	return list
}

// readyAttempts and readyInterval limit the wait for a configuration to 20 s.
const (
	readyAttempts = 800
	readyInterval = 25 * time.Millisecond
)

// AwaitReady blocks until every daemon has a configuration. It gives up after 20 s.
func (d *Deployment) AwaitReady() error {
	for range readyAttempts {
		ready := true
		for _, running := range d.Daemons {
			ready = ready && running.Ready()
		}
		if ready {
			return nil
		}
		time.Sleep(readyInterval)
	}

	return ErrNotReady
}

// Close stops the daemons and the stand-ins at once.
func (d *Deployment) Close() {
	for _, running := range d.Daemons {
		running.Close()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
}

func zoneName(i int) string { return "zone-" + string(rune('a'+i)) }
