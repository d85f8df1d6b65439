package operator

import (
	"context"
	"encoding/json"
	"net/http"

	"connectrpc.com/connect"

	"jacinthferry/core/clock"
	"jacinthferry/core/config"
	"jacinthferry/core/event"
	"jacinthferry/core/reason"
	"jacinthferry/io/rpc"
)

// Client calls the operator procedures of one daemon. It is safe for concurrent use.
type Client struct {
	apply   *connect.Client[applyRequest, changeResponse]
	zone    *connect.Client[zoneRequest, changeResponse]
	get     *connect.Client[getRequest, getResponse]
	history *connect.Client[historyRequest, historyResponse]
	status  *connect.Client[statusRequest, statusResponse]
	events  *connect.Client[eventsRequest, eventsResponse]
}

// New returns a client for the daemon with the given operator address.
func New(address string, client *http.Client) *Client {
	base, options := "http://"+address, rpc.ClientOptions()
	large := connect.WithClientOptions(options, connect.WithReadMaxBytes(configLimit))

	return &Client{
		apply:   connect.NewClient[applyRequest, changeResponse](client, base+applyProcedure, options),
		zone:    connect.NewClient[zoneRequest, changeResponse](client, base+zoneProcedure, options),
		get:     connect.NewClient[getRequest, getResponse](client, base+getProcedure, large),
		history: connect.NewClient[historyRequest, historyResponse](client, base+historyProcedure, options),
		status:  connect.NewClient[statusRequest, statusResponse](client, base+statusProcedure, options),
		events:  connect.NewClient[eventsRequest, eventsResponse](client, base+eventsProcedure, options),
	}
}

// Apply makes cfg the newest configuration, whatever the current revision is, and returns its
// revision.
func (c *Client) Apply(ctx context.Context, cfg config.Config) (int64, *reason.Refusal) {
	text, err := cfg.Encode()
	if err != nil {
		return 0, reason.NewRefusal(reason.Invalid, reason.NotExecuted, err.Error())
	}
	applied, refusal := c.Change(ctx, text, Options{})

	return applied.Revision, refusal
}

// Change makes the encoded configuration in text the newest one.
func (c *Client) Change(ctx context.Context, text []byte, o Options) (Applied, *reason.Refusal) {
	response, err := c.apply.CallUnary(ctx, connect.NewRequest(&applyRequest{
		Config: json.RawMessage(text), Who: o.Who, Note: o.Note, Expect: o.Expect, Force: o.Force,
	}))
	if err != nil {
		return Applied{}, rpc.Refusal(err)
	}

	return Applied(*response.Msg), nil
}

// Zone takes an availability zone out of service or returns it to service.
func (c *Client) Zone(ctx context.Context, zone string, out bool, o Options) (Applied, *reason.Refusal) {
	response, err := c.zone.CallUnary(ctx, connect.NewRequest(&zoneRequest{
		Zone: zone, Out: out, Who: o.Who, Note: o.Note, Expect: o.Expect, Force: o.Force,
	}))
	if err != nil {
		return Applied{}, rpc.Refusal(err)
	}

	return Applied(*response.Msg), nil
}

// Current returns the configuration in force on the daemon and its revision.
func (c *Client) Current(ctx context.Context) (config.Config, Record, *reason.Refusal) {
	response, err := c.get.CallUnary(ctx, connect.NewRequest(&getRequest{}))
	if err != nil {
		return config.Config{}, Record{}, rpc.Refusal(err)
	}

	return response.Msg.Config, response.Msg.revisionInfo.revisionInfo(), nil
}

// History returns up to limit changes, newest first.
func (c *Client) History(ctx context.Context, limit int) ([]Record, *reason.Refusal) {
	response, err := c.history.CallUnary(ctx, connect.NewRequest(&historyRequest{Limit: limit}))
	if err != nil {
		return nil, rpc.Refusal(err)
	}
	list := make([]Record, 0, len(response.Msg.Changes))
	for _, r := range response.Msg.Changes {
		list = append(list, r.revisionInfo())
	}

	return list, nil
}

// Status returns the state of the daemon, and of the other daemons as it knows them.
func (c *Client) Status(ctx context.Context) (Status, *reason.Refusal) {
	response, err := c.status.CallUnary(ctx, connect.NewRequest(&statusRequest{}))
	if err != nil {
		return Status{}, rpc.Refusal(err)
	}

	return response.Msg.status(), nil
}

// Filter selects events. A zero field matches all events; the daemon has defaults for a zero Since
// or Limit. Since is the age of the oldest event.
type Filter struct {
	Since   clock.Milli
	Service string
	Kind    event.Kind
	Reason  reason.Code
	Limit   int
}

// Events returns the matching events that the daemon has retained, oldest first, and the number of
// older matches beyond the limit.
func (c *Client) Events(ctx context.Context, f Filter) ([]event.Event, int, *reason.Refusal) {
	response, err := c.events.CallUnary(ctx, connect.NewRequest(&eventsRequest{
		Since: f.Since, Service: f.Service, Kind: string(f.Kind), Reason: string(f.Reason), Limit: f.Limit,
	}))
	if err != nil {
		return nil, 0, rpc.Refusal(err)
	}
	list := make([]event.Event, 0, len(response.Msg.Events))
	for _, e := range response.Msg.Events {
		list = append(list, event.Event{
			At: parseTime(e.At), Kind: event.Kind(e.Kind), Reason: reason.Code(e.Reason), Service: e.Service,
			Version: e.Version, Zone: e.Zone, Upstream: e.Upstream, Daemon: e.Daemon, Request: e.Request,
			Revision: e.Revision, Detail: e.Detail,
		})
	}

	return list, response.Msg.Skipped, nil
}
