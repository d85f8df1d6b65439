package local

import (
	"context"
	"slices"

	"jacinthferry/io/daemon"
	"jacinthferry/io/operator"
	"jacinthferry/io/rpc"
	"jacinthferry/standin/platform"
	"jacinthferry/standin/upstream"
)

// ApplyConfig applies d.Config through the operator API of the first daemon.
func (d *Deployment) ApplyConfig(ctx context.Context) error {
	if _, refusal := operator.NewClient(d.Daemons[0].OperatorAddress(), rpc.NewClient(0)).ApplyConfig(
		ctx, d.Config,
	); refusal != nil {
		return refusal
	}

	return nil
}

// StoreAddress returns the address of the platform's store.
func (d *Deployment) StoreAddress() string { return d.storeAddress }

// CallerAddresses returns the addresses of the daemons for callers.
func (d *Deployment) CallerAddresses() []string {
	addresses := make([]string, 0, len(d.Daemons))
	for _, running := range d.Daemons {
		addresses = append(addresses, running.CallerAddress())
	}

	return addresses
}

// OperatorAddresses returns the addresses of the daemons for operators.
func (d *Deployment) OperatorAddresses() []string {
	addresses := make([]string, 0, len(d.Daemons))
	for _, running := range d.Daemons {
		addresses = append(addresses, running.OperatorAddress())
	}

	return addresses
}

// Upstream returns the upstream with that name, or nil if there is none.
func (d *Deployment) Upstream(name string) *upstream.Upstream {
	for _, u := range d.Upstreams {
		if u.Name() == name {
			return u
		}
	}

	return nil
}

// UpstreamCounts returns the sum of the counts of all upstreams.
func (d *Deployment) UpstreamCounts() upstream.Counts {
	var sum upstream.Counts
	for _, u := range d.Upstreams {
		sum = sum.Add(u.Counts())
	}

	return sum
}

// RestartUpstream crashes the upstream with that name. It starts again at once as a new, cold incarnation.
func (d *Deployment) RestartUpstream(name string) {
	if u := d.Upstream(name); u != nil {
		u.Crash(0)
	}
}

// StartOutage makes the platform unavailable until the end of the outage.
func (d *Deployment) StartOutage(kind platform.Outage) {
	d.Platform.SetFaults(platform.Faults{Outage: kind})
}

// EndOutage ends all faults of the platform.
func (d *Deployment) EndOutage() { d.Platform.SetFaults(platform.Faults{}) }

// StopDaemon performs a planned stop of a daemon as the platform does: the daemon is listed as leaving first. It is
// then removed from d.Daemons.
func (d *Deployment) StopDaemon(ctx context.Context, target *daemon.Daemon) error {
	d.Platform.SetInstance(d.daemonNames[target], true)
	err := target.Shutdown(ctx)
	d.KillDaemon(target)

	return err
}

// KillDaemon stops a daemon at once, as SIGKILL would, and removes it from d.Daemons and from the platform's list of
// instances.
func (d *Deployment) KillDaemon(target *daemon.Daemon) {
	d.Platform.RemoveInstance(d.daemonNames[target])
	d.Daemons = slices.DeleteFunc(d.Daemons, func(other *daemon.Daemon) bool { return other == target })
	target.Close()
}
