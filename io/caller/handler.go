package caller

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"jacinthferry/core/clock"
	"jacinthferry/core/ledger"
	"jacinthferry/core/leg"
	"jacinthferry/core/query"
	"jacinthferry/core/reason"
	"jacinthferry/core/submit"
	"jacinthferry/io/rpc"
)

// Entry is an address that callers may use.
type Entry struct {
	Address string
	Zone    string
}

// Service has the operations that a Handler serves. Errors are of type *reason.Refusal.
type Service struct {
	Now func() clock.Milli
	// Deadline is the timeout of a request without one.
	Deadline clock.Milli
	// NewID returns an ID for a query without one.
	NewID func() string
	// Entries returns the addresses for a caller in a zone, nearest first, and how long they are
	// valid.
	Entries func(zone string) ([]Entry, clock.Milli)
	Query   func(context.Context, query.Request) (*query.Reply, error)
	Submit  func(context.Context, submit.Request) (string, error)
}

// Defaults and limits of requests.
const (
	defaultTop = 10
	topLimit   = 1000
	textLimit  = 4096
	idLimit    = 128
	bodyLimit  = 64 << 10
	// maxTimeout is the maximum timeout of a request; longer ones are shortened to it.
	maxTimeout = clock.Minute
)

// Handler returns an HTTP handler that serves s.
func Handler(s Service) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(entriesProcedure, connect.NewUnaryHandler(entriesProcedure,
		func(_ context.Context, r *connect.Request[entriesRequest]) (*connect.Response[entriesResponse], error) {
			list, keep := s.Entries(r.Msg.Zone)
			response := &entriesResponse{Keep: keep, Entries: make([]entry, 0, len(list))}
			for _, e := range list {
				response.Entries = append(response.Entries, entry(e))
			}

			return connect.NewResponse(response), nil
		}, rpc.HandlerOptions()))
	mux.Handle(queryProcedure, connect.NewUnaryHandler(queryProcedure,
		func(ctx context.Context, r *connect.Request[queryRequest]) (*connect.Response[queryResponse], error) {
			request, err := s.parseQuery(r.Msg)
			if err != nil {
				return nil, rpc.Refuse(err)
			}
			reply, err := s.Query(ctx, request)
			if err != nil {
				return nil, rpc.Refuse(err)
			}

			return connect.NewResponse(toQueryResponse(request.ID, reply)), nil
		}, rpc.HandlerOptions()))
	mux.Handle(submitProcedure, connect.NewUnaryHandler(submitProcedure,
		func(ctx context.Context, r *connect.Request[submitRequest]) (*connect.Response[submitResponse], error) {
			request, err := s.parseSubmit(r.Msg)
			if err != nil {
				return nil, rpc.Refuse(err)
			}
			outcome, err := s.Submit(ctx, request)
			if err != nil {
				return nil, rpc.Refuse(err)
			}

			return connect.NewResponse(&submitResponse{ID: request.ID, Outcome: outcome}), nil
		}, rpc.HandlerOptions()))

	return mux
}

func (s Service) parseQuery(r *queryRequest) (query.Request, error) {
	deadline, priority, err := s.deadlineAndPriority(r.Deadline, r.Priority)
	if err != nil {
		return query.Request{}, err
	}
	if len(r.ID) > idLimit {
		return query.Request{}, invalid("id: longer than 128 bytes")
	}
	if len(r.Caller) > idLimit {
		return query.Request{}, invalid("caller: longer than 128 bytes")
	}
	if len(r.Text) > textLimit {
		return query.Request{}, invalid("text: longer than 4096 bytes")
	}
	if r.Top < 0 || r.Top > topLimit {
		return query.Request{}, invalid("top: want 0 to 1000")
	}
	request := query.Request{
		ID: r.ID, Service: r.Service, Caller: r.Caller, Text: r.Text, Top: r.Top, Deadline: deadline,
		Priority: priority, Partial: r.Partial,
	}
	if request.ID == "" {
		request.ID = s.NewID()
	}
	if request.Top == 0 {
		request.Top = defaultTop
	}

	return request, nil
}

func (s Service) parseSubmit(r *submitRequest) (submit.Request, error) {
	deadline, priority, err := s.deadlineAndPriority(r.Deadline, r.Priority)
	if err != nil {
		return submit.Request{}, err
	}
	if refusal := ledger.Accept(r.ID, s.Now()); refusal != nil {
		return submit.Request{}, refusal
	}

	if len(r.Body) > bodyLimit {
		return submit.Request{}, invalid("body: longer than 65536 bytes")
	}

	return submit.Request{
		ID: r.ID, Service: r.Service, Body: r.Body, Deadline: deadline, Priority: priority, Resend: r.Resend,
	}, nil
}

// deadlineAndPriority returns the time by which to respond, and the priority. A timeout of 0 means
// the default.
func (s Service) deadlineAndPriority(timeout clock.Milli, priority string) (clock.Milli, leg.Priority, error) {
	if timeout < 0 {
		return 0, "", reason.NewRefusal(reason.Deadline, reason.NotExecuted, "deadline: is in the past")
	}
	if timeout == 0 {
		timeout = s.Deadline
	}
	timeout = min(timeout, maxTimeout)
	p := leg.Priority(priority)
	if p == "" {
		p = leg.Routine
	}
	if !p.Known() {
		return 0, "", invalid(`priority: want "urgent" or "routine"`)
	}

	return s.Now() + timeout, p, nil
}

func invalid(detail string) error {
	return reason.NewRefusal(reason.Invalid, reason.NotExecuted, detail)
}
