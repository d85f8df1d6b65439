package operator

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/fault"
	"jacinthferry/core/reason"
	"jacinthferry/io/rpc"
	"jacinthferry/io/schema"
)

// Defaults and limits of requests.
const (
	defaultChanges = 20
	changesLimit   = 1000
	defaultEvents  = 1000
	eventsLimit    = 10000
	defaultSince   = clock.Hour
	textLimit      = 512
	// configLimit is the size of the largest message with a configuration, in bytes.
	configLimit = 32 << 20
)

// Handler returns an HTTP handler that serves the procedures of d.
func Handler(d Daemon) http.Handler {
	mux := http.NewServeMux()
	large := connect.WithHandlerOptions(rpc.HandlerOptions(), connect.WithReadMaxBytes(configLimit))
	mux.Handle(applyProcedure, connect.NewUnaryHandler(applyProcedure, d.apply, large))
	mux.Handle(zoneProcedure, connect.NewUnaryHandler(zoneProcedure, d.zone, rpc.HandlerOptions()))
	mux.Handle(getProcedure, connect.NewUnaryHandler(getProcedure, d.get, rpc.HandlerOptions()))
	mux.Handle(historyProcedure, connect.NewUnaryHandler(historyProcedure, d.history, rpc.HandlerOptions()))
	mux.Handle(statusProcedure, connect.NewUnaryHandler(statusProcedure, d.status, rpc.HandlerOptions()))
	mux.Handle(eventsProcedure, connect.NewUnaryHandler(eventsProcedure, d.events, rpc.HandlerOptions()))

	return mux
}

func (d Daemon) apply(
	ctx context.Context, r *connect.Request[applyRequest],
) (*connect.Response[changeResponse], error) {
	o := Options{Who: r.Msg.Who, Note: r.Msg.Note, Expect: r.Msg.Expect, Force: r.Msg.Force}
	if err := o.check(); err != nil {
		return nil, rpc.Refuse(err)
	}
	c, faults, err := schema.CheckConfig(r.Msg.Config)
	if err != nil {
		return nil, rpc.Refuse(invalid("config: " + err.Error()))
	}
	if len(faults) > 0 {
		return nil, rpc.Refuse(invalid(fault.Text(faults)))
	}

	return toChangeResponse(d.Apply(ctx, c, o))
}

func (d Daemon) zone(
	ctx context.Context, r *connect.Request[zoneRequest],
) (*connect.Response[changeResponse], error) {
	o := Options{Who: r.Msg.Who, Note: r.Msg.Note, Expect: r.Msg.Expect, Force: r.Msg.Force}
	if err := o.check(); err != nil {
		return nil, rpc.Refuse(err)
	}
	if r.Msg.Zone == "" {
		return nil, rpc.Refuse(invalid("zone: is empty, want the name of an availability zone"))
	}

	return toChangeResponse(d.Zone(ctx, r.Msg.Zone, r.Msg.Out, o))
}

func (o Options) check() error {
	switch {
	case len(o.Who) > textLimit:
		return invalid("who: longer than 512 bytes")
	case len(o.Note) > textLimit:
		return invalid("note: longer than 512 bytes")
	case o.Expect < 0:
		return invalid("expect: is negative, want a revision, or 0 for the newest")
	default:
		return nil
	}
}

func toChangeResponse(a Applied, err error) (*connect.Response[changeResponse], error) {
	if err != nil {
		return nil, rpc.Refuse(err)
	}

	return connect.NewResponse(&changeResponse{Revision: a.Revision, Previous: a.Previous}), nil
}

func (d Daemon) get(ctx context.Context, _ *connect.Request[getRequest]) (*connect.Response[getResponse], error) {
	c, r, found := d.Current(ctx)
	if !found {
		return nil, rpc.Refuse(
			reason.NewRefusal(reason.Configuration, reason.NotExecuted, "this daemon has no configuration yet"),
		)
	}

	return connect.NewResponse(&getResponse{revisionInfo: toRevisionInfo(r), Config: c}), nil
}

func (d Daemon) history(
	ctx context.Context, r *connect.Request[historyRequest],
) (*connect.Response[historyResponse], error) {
	limit, err := limitOrDefault("limit", r.Msg.Limit, defaultChanges, changesLimit)
	if err != nil {
		return nil, rpc.Refuse(err)
	}
	list, err := d.History(ctx, limit)
	if err != nil {
		return nil, rpc.Refuse(err)
	}
	response := &historyResponse{Changes: []revisionInfo{}}
	for _, change := range list {
		response.Changes = append(response.Changes, toRevisionInfo(change))
	}

	return connect.NewResponse(response), nil
}

func (d Daemon) status(
	ctx context.Context, _ *connect.Request[statusRequest],
) (*connect.Response[statusResponse], error) {
	s, err := d.Status(ctx)
	if err != nil {
		return nil, rpc.Refuse(err)
	}

	return connect.NewResponse(toStatus(s)), nil
}

func (d Daemon) events(
	_ context.Context, r *connect.Request[eventsRequest],
) (*connect.Response[eventsResponse], error) {
	limit, err := limitOrDefault("limit", r.Msg.Limit, defaultEvents, eventsLimit)
	if err != nil {
		return nil, rpc.Refuse(err)
	}
	since := r.Msg.Since
	if since <= 0 {
		since = defaultSince
	}
	response := &eventsResponse{Events: []eventRecord{}}
	for _, e := range d.Events(d.Now() - since) {
		if r.Msg.matches(e) {
			response.Events = append(response.Events, toEventRecord(e))
		}
	}
	if extra := len(response.Events) - limit; extra > 0 {
		response.Events, response.Skipped = response.Events[extra:], extra
	}

	return connect.NewResponse(response), nil
}

// matches reports whether the request selects e. An event without a service belongs to all services.
func (r *eventsRequest) matches(e event.Event) bool {
	return (r.Service == "" || e.Service == "" || e.Service == r.Service) &&
		(r.Kind == "" || string(e.Kind) == r.Kind) && (r.Reason == "" || string(e.Reason) == r.Reason)
}

func limitOrDefault(field string, value, defaultLimit, limit int) (int, error) {
	if value < 0 || value > limit {
		return 0, reason.NewRefusal(
			reason.Invalid, reason.NotExecuted, fault.New(field, "is %d, want 1 to %d", value, limit).String(),
		)
	}
	if value == 0 {
		return defaultLimit, nil
	}

	return value, nil
}

func invalid(detail string) error {
	return reason.NewRefusal(reason.Invalid, reason.NotExecuted, detail)
}
