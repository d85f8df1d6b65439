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

// controls returns what the control thread needs.
func (d *Daemon) controls() control.Options {
	s := d.settings

	return control.Options{
		Self: member.Member{
			Name: s.Name, Zone: s.Zone, CallerAddress: d.Caller(), PeerAddress: d.Peer(), OperatorAddress: d.Operator(),
		},
		Store: d.store, Now: d.now, FetchReport: d.upstreams.report, SendMessage: d.links.control, SendHolding: d.links.tell,
		PublishTable: d.publish, PublishMembers: d.links.update, RecordEvent: d.journal.Record, LeaseTTL: s.Control.LeaseTTL,
		ReportInterval: s.Control.ReportInterval, MemberPolicy: member.DefaultPolicy(), Seed: uint64(time.Now().UnixNano()),
	}
}

// run sends a leg to an upstream if that is allowed at this very moment.
func (d *Daemon) run(u config.Upstream, l leg.Leg) admit.Outcome {
	if refusal := d.control.Allow(u); refusal != nil {
		return admit.Outcome{Result: leg.Result{Refusal: refusal}, Finished: true}
	}
	o := d.upstreams.run(u, l)
	if o.Result.Refusal == nil && o.Result.Answer.Load.Draining {
		d.control.HandleDraining(u.Name)
	}

	return o
}

// guarded returns run for a daemon that may have stood still. While that is not cleared up, and
// when it happened meanwhile, the caller is told to ask another daemon.
func (d *Daemon) guarded(run queryFunc) queryFunc {
	return func(ctx context.Context, r query.Request) (*query.Reply, error) {
		<-d.assembled
		before, holds := d.control.Standing()
		if d.Ready() && !holds {
			return nil, reason.NewRefusal(reason.Draining, reason.NotExecuted, "this daemon stood still and is not back yet")
		}
		reply, err := run(ctx, r)
		after, holds := d.control.Standing()
		var refusal *reason.Refusal
		if errors.As(err, &refusal) && (before != after || !holds) {
			return nil, reason.NewRefusal(reason.Cancelled, refusal.Run, "this daemon stood still: "+refusal.Detail)
		}

		return reply, err
	}
}

// stopMargin is added to the longest time that callers keep an answer.
const stopMargin = 500 * clock.Millisecond

// Stop stops the daemon as planned: it leaves the entry lists, serves until the last answer that
// named it has run out, finishes running work and gives up its upstreams. No request is cut unless
// ctx ends first.
func (d *Daemon) Stop(ctx context.Context) error {
	d.control.Leave()
	kept := time.NewTimer((d.settings.Control.EntriesTTL + stopMargin).Duration())
	defer kept.Stop()
	var err error
	select {
	case <-kept.C:
		err = d.servers[0].Shutdown(ctx)
	case <-ctx.Done():
		err = ctx.Err()
	}
	d.Close()

	return err
}
