package upstream

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/io/rpc"
)

// Client calls one upstream.
type Client struct {
	now    func() clock.Milli
	search *connect.Client[legRequest, legResponse]
	submit *connect.Client[legRequest, legResponse]
	report *connect.Client[reportRequest, reportResponse]
	cancel *connect.Client[cancelRequest, cancelResponse]
}

// NewClient returns a client for the upstream at address, such as "127.0.0.1:9000".
func NewClient(address string, client *http.Client, now func() clock.Milli) *Client {
	base := "http://" + address

	return &Client{
		now:    now,
		search: connect.NewClient[legRequest, legResponse](client, base+searchProcedure, rpc.ClientOptions()),
		submit: connect.NewClient[legRequest, legResponse](client, base+submitProcedure, rpc.ClientOptions()),
		report: connect.NewClient[reportRequest, reportResponse](client, base+reportProcedure, rpc.ClientOptions()),
		cancel: connect.NewClient[cancelRequest, cancelResponse](client, base+cancelProcedure, rpc.ClientOptions()),
	}
}

// Run sends the leg and waits for its answer until the leg's deadline or the end of ctx. An error
// is returned as a refusal in the result.
func (c *Client) Run(ctx context.Context, l leg.Leg) leg.Result {
	now := c.now()
	ctx, cancel := context.WithTimeout(ctx, (l.Deadline - now).Duration())
	defer cancel()
	answer, err := c.call(ctx, l, now)
	if err != nil {
		return leg.Result{Refusal: rpc.RefusalFrom(err)}
	}

	return leg.Result{Answer: answer}
}

// call sends the leg and waits for its answer. It returns the error of the transport.
func (c *Client) call(ctx context.Context, l leg.Leg, now clock.Milli) (leg.Answer, error) {
	call := c.search
	if l.Submit {
		call = c.submit
	}
	response, err := call.CallUnary(ctx, connect.NewRequest(toRequest(l, now)))
	if err != nil {
		return leg.Answer{}, err //nolint:wrapcheck // The callers look into it.
	}

	return response.Msg.answer(), nil
}

// cancelLeg asks the upstream to cancel a leg. An upstream that does not implement the call runs the
// leg to its end.
func (c *Client) cancelLeg(ctx context.Context, l leg.Leg) {
	_, _ = c.cancel.CallUnary(ctx, connect.NewRequest(&cancelRequest{l.Request, l.Shard, l.Attempt}))
}

// Report asks the upstream for a report. The error is a *reason.Refusal.
func (c *Client) Report(ctx context.Context) (Report, error) {
	response, err := c.report.CallUnary(ctx, connect.NewRequest(&reportRequest{}))
	if err != nil {
		return Report{}, rpc.RefusalFrom(err)
	}

	return response.Msg.report(), nil
}
