package caller

import (
	"context"
	"net"
	"net/http"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"jacinthferry/core/clock"
	"jacinthferry/core/query"
	"jacinthferry/core/reason"
	"jacinthferry/core/submit"
	"jacinthferry/io/rpc"
)

// Client calls the caller procedures of one daemon. It is safe for concurrent use.
type Client struct {
	now     func() clock.Milli
	entries *connect.Client[entriesRequest, entriesResponse]
	query   *connect.Client[queryRequest, queryResponse]
	submit  *connect.Client[submitRequest, submitResponse]
}

// New returns a client for the daemon at address.
func New(address string, client *http.Client, now func() clock.Milli) *Client {
	base := "http://" + address

	return &Client{
		now:     now,
		entries: connect.NewClient[entriesRequest, entriesResponse](client, base+entriesProcedure, rpc.ClientOptions()),
		query:   connect.NewClient[queryRequest, queryResponse](client, base+queryProcedure, rpc.ClientOptions()),
		submit:  connect.NewClient[submitRequest, submitResponse](client, base+submitProcedure, rpc.ClientOptions()),
	}
}

// Entries returns the addresses to use for a caller in zone, nearest first, and how long they are
// valid. The error is a *reason.Refusal.
func (c *Client) Entries(ctx context.Context, zone string) ([]Entry, clock.Milli, error) {
	response, err := c.entries.CallUnary(ctx, connect.NewRequest(&entriesRequest{Zone: zone}))
	if err != nil {
		return nil, 0, callError(err)
	}
	var list []Entry
	for _, e := range response.Msg.Entries {
		list = append(list, Entry(e))
	}

	return list, response.Msg.Keep, nil
}

// Query sends a query. The error is a *reason.Refusal.
func (c *Client) Query(ctx context.Context, r query.Request) (query.Reply, error) {
	response, err := c.query.CallUnary(ctx, connect.NewRequest(&queryRequest{
		ID: r.ID, Service: r.Service, Caller: r.Caller, Text: r.Text, Top: r.Top, Deadline: r.Deadline - c.now(),
		Priority: string(r.Priority), Partial: r.Partial,
	}))
	if err != nil {
		return query.Reply{}, callError(err)
	}
	if r.ID != "" && response.Msg.ID != r.ID {
		return query.Reply{}, reason.NewRefusal(reason.Mismatch, reason.Executed, "answer to "+response.Msg.ID)
	}

	return response.Msg.reply(), nil
}

// Submit sends a non-idempotent request and returns its outcome. The error is a *reason.Refusal.
func (c *Client) Submit(ctx context.Context, s submit.Request) (string, error) {
	response, err := c.submit.CallUnary(ctx, connect.NewRequest(&submitRequest{
		ID: s.ID, Service: s.Service, Body: s.Body, Deadline: s.Deadline - c.now(), Priority: string(s.Priority),
		Resend: s.Resend,
	}))
	if err != nil {
		return "", callError(err)
	}
	if response.Msg.ID != s.ID {
		return "", reason.NewRefusal(reason.Mismatch, reason.ExecutionUnknown, "answer to "+response.Msg.ID)
	}

	return response.Msg.Outcome, nil
}

// Unanswered is the error of a call without a response from the daemon: it could not be reached, the
// connection failed, or the time ran out. The refusal says that the request was not run only if no
// connection was made.
type Unanswered struct {
	Refusal *reason.Refusal
}

// Error returns the refusal's text.
func (u *Unanswered) Error() string { return u.Refusal.Error() }

// Unwrap returns the refusal.
func (u *Unanswered) Unwrap() error { return u.Refusal }

// callError returns the daemon's refusal, or an [Unanswered] error if there was no response.
func callError(err error) error {
	var e *connect.Error
	if errors.As(err, &e) && connect.IsWireError(err) {
		return rpc.Refusal(err)
	}
	r := rpc.Refusal(err)
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		r = reason.NewRefusal(reason.Connection, reason.NotExecuted, err.Error())
	}

	return &Unanswered{r}
}
