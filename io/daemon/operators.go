package daemon

import (
	"context"
	"net/http"
	"runtime/debug"

	"jacinthferry/core/config"
	"jacinthferry/core/route"
	"jacinthferry/io/control"
	"jacinthferry/io/operator"
	"jacinthferry/io/rpc"
)

// operatorHandler serves operators. Only the two health checks need no credentials.
func (d *Daemon) operatorHandler() http.Handler {
	probes := operator.Probes{Metrics: d.writeMetrics, Ready: d.readiness}
	guarded := http.NewServeMux()
	guarded.Handle("/operator/", rpc.Account(d.journal.Record, operator.Handler(d.operatorService())))
	guarded.Handle("/", operator.DebugHandler(probes))
	mux := http.NewServeMux()
	mux.Handle("/", rpc.Guard(d.credentials.operator, guarded))
	open := operator.ProbeHandler(probes)
	mux.Handle("/healthz", open)
	mux.Handle("/readyz", open)

	return mux
}

// readiness reports whether the daemon accepts callers and, if not, the reason.
func (d *Daemon) readiness() (bool, string) {
	switch {
	case d.table.Load() == nil:
		return false, "no configuration yet: neither the store nor another daemon has provided one"
	case !d.Ready():
		return false, "taking upstreams over from other daemons"
	default:
		return true, ""
	}
}

func (d *Daemon) operatorService() operator.Daemon {
	return operator.Daemon{
		Now: d.now, Events: d.journal.Since, Status: d.status, Current: d.current, History: d.history,
		Apply: func(ctx context.Context, c config.Config, o operator.Options) (operator.Applied, error) {
			<-d.initialised
			applied, err := d.control.Apply(ctx, c, control.ApplyOptions(o))

			return operator.Applied(applied), err
		},
		Zone: func(ctx context.Context, zone string, out bool, o operator.Options) (operator.Applied, error) {
			<-d.initialised
			applied, err := d.control.SetZone(ctx, zone, out, control.ApplyOptions(o))

			return operator.Applied(applied), err
		},
	}
}

func (d *Daemon) current(ctx context.Context) (config.Config, operator.Record, bool) {
	<-d.initialised
	c, r, found := d.control.Current(ctx)

	return c, operator.Record(r), found
}

func (d *Daemon) history(ctx context.Context, limit int) ([]operator.Record, error) {
	<-d.initialised
	found, err := d.control.History(ctx, limit)
	list := make([]operator.Record, 0, len(found))
	for _, r := range found {
		list = append(list, operator.Record(r))
	}

	return list, err
}

// status describes this daemon, its knowledge of the others and the services as it routes them.
func (d *Daemon) status(ctx context.Context) (operator.Status, error) {
	<-d.initialised
	fleet := d.control.Status(ctx)
	s := operator.Status{
		Name: d.settings.Name, Zone: d.settings.Zone, Release: Release(), Ready: d.Ready(), Started: d.started,
		Store: fleet.Reachable, Revision: fleet.Revision, Upstreams: fleet.Upstreams,
	}
	for _, m := range fleet.Daemons {
		s.Members = append(s.Members, operator.Member{
			Name: m.Name, Zone: m.Zone, State: m.State, Operator: m.Operator, Revision: m.Revision, Answered: m.Answered,
		})
	}
	t := d.table.Load()
	c, _, found := d.control.Current(ctx)
	if t == nil || !found {
		return s, nil
	}
	for _, service := range c.Services {
		routed, _ := t.Service(service.Name)
		for _, v := range routed.Versions {
			s.Services = append(s.Services, serviceStatus(service.Name, fleet.Running[service.Name], v))
		}
	}

	return s, nil
}

func serviceStatus(service string, running float64, v route.Version) operator.Service {
	one := operator.Service{Name: service, Version: v.Name, Share: v.Share, Running: running}
	if len(v.Snapshots) > 0 {
		best := v.Snapshots[0]
		one.Snapshot, one.Covered, one.Total = best.Name, best.Covered(), len(best.Shards)
	}

	return one
}

// Release returns the module version and the VCS revision of this program, or "unknown" if it was
// built without build information.
func Release() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return info.Main.Version + " " + s.Value
		}
	}

	return info.Main.Version
}
