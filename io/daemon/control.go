package daemon

import (
	"context"
	"time"

	"jacinthferry/core/admit"
	"jacinthferry/core/clock"
	"jacinthferry/core/config"
	"jacinthferry/core/leg"
	"jacinthferry/core/member"
	"jacinthferry/core/query"
	"jacinthferry/core/reason"
	"jacinthferry/io/control"

	"github.com/pkg/errors"
)

// controlPorts returns the dependencies of the control thread.
func (d *Daemon) controlPorts() control.Ports {
	s := d.settings

	return control.Ports{
		Self: member.Member{
			Name: s.Name, Zone: s.Zone, CallerAddress: d.Caller(), PeerAddress: d.Peer(), OperatorAddress: d.Operator(),
		},
		Store: d.store, Now: d.now, Report: d.upstreams.fetchReport, Send: d.links.sendControl, Tell: d.links.sendHolding,
		Publish: d.publish, Members: d.links.update, Record: d.journal.Record, Lease: s.Control.LeaseTTL,
		Poll: s.Control.ReportInterval, Policy: member.DefaultPolicy(), Seed: uint64(time.Now().UnixNano()),
	}
}

// runLeg sends a leg to an upstream if the control thread allows it at this moment.
func (d *Daemon) runLeg(u config.Upstream, l leg.Leg) admit.Outcome {
	if refusal := d.control.Allow(u); refusal != nil {
		return admit.Outcome{Result: leg.Result{Refusal: refusal}, Finished: true}
	}
	o := d.upstreams.runLeg(u, l)
	if o.Result.Refusal == nil && o.Result.Answer.Load.Draining {
		d.control.Draining(u.Name)
	}

	return o
}

// withStandingCheck wraps run for a process that may have been paused. While the daemon is not a
// member again after a pause, and when a query fails across a pause, the refusal tells the caller
// to ask another daemon.
func (d *Daemon) withStandingCheck(run queryFunc) queryFunc {
	return func(ctx context.Context, r query.Request) (*query.Reply, error) {
		<-d.initialised
		before, holds := d.control.Standing()
		if d.Ready() && !holds {
			return nil, reason.NewRefusal(reason.Draining, reason.NotExecuted, "this daemon was paused and has not rejoined yet")
		}
		reply, err := run(ctx, r)
		after, holds := d.control.Standing()
		var refusal *reason.Refusal
		if errors.As(err, &refusal) && (before != after || !holds) {
			return nil, reason.NewRefusal(reason.Cancelled, refusal.Run, "this daemon was paused: "+refusal.Detail)
		}

		return reply, err
	}
}

// stopMargin is added to the time for which callers cache the entry list.
const stopMargin = 500 * clock.Millisecond

// Stop shuts the daemon down gracefully: it leaves the entry lists, serves until the last list that
// named it has expired, finishes running work and releases its upstreams. No request is interrupted
// unless ctx ends first; Stop then closes the daemon and returns the error of ctx.
func (d *Daemon) Stop(ctx context.Context) error {
	d.control.Leave()
	expiry := time.NewTimer((d.settings.Control.EntriesTTL + stopMargin).Duration())
	defer expiry.Stop()
	var err error
	select {
	case <-expiry.C:
		err = d.servers[0].Shutdown(ctx)
	case <-ctx.Done():
		err = ctx.Err()
	}
	d.Close()

	return err
}
