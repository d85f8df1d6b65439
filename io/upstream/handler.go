package upstream

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"jacinthferry/core/leg"
	"jacinthferry/io/rpc"
)

// Operations holds the functions that a handler serves. They are called concurrently.
type Operations struct {
	// Run runs a leg. A refusal in the result is returned as a typed error. The context ends at the
	// leg's deadline, when the connection breaks, and when the daemon cancels the leg.
	Run func(context.Context, leg.Leg) leg.Result
	// Report returns the version, load and snapshots of the upstream.
	Report func() Report
}

// Handler returns an HTTP handler that serves u.
func Handler(u Operations) http.Handler {
	running := &runningLegs{cancels: make(map[cancelRequest]context.CancelFunc)}
	mux := http.NewServeMux()
	mux.Handle(searchProcedure, legHandler(u, running, searchProcedure, false))
	mux.Handle(submitProcedure, legHandler(u, running, submitProcedure, true))
	mux.Handle(reportProcedure, connect.NewUnaryHandler(reportProcedure,
		func(context.Context, *connect.Request[reportRequest]) (*connect.Response[reportResponse], error) {
			return connect.NewResponse(toReport(u.Report())), nil
		}, rpc.HandlerOptions()))
	mux.Handle(cancelProcedure, connect.NewUnaryHandler(cancelProcedure,
		func(_ context.Context, c *connect.Request[cancelRequest]) (*connect.Response[cancelResponse], error) {
			return connect.NewResponse(&cancelResponse{Found: running.cancel(*c.Msg)}), nil
		}, rpc.HandlerOptions()))

	return nameCalls(mux)
}

func legHandler(u Operations, running *runningLegs, procedure string, submit bool) http.Handler {
	return connect.NewUnaryHandler(procedure,
		func(ctx context.Context, r *connect.Request[legRequest]) (*connect.Response[legResponse], error) {
			ctx, cancel := context.WithTimeout(ctx, r.Msg.Deadline.Duration())
			defer cancel()
			key := cancelRequest{r.Msg.Request, r.Msg.Shard, r.Msg.Attempt}
			running.add(key, cancel)
			defer running.remove(key)
			result := u.Run(ctx, r.Msg.leg(time.Now(), submit))
			if result.Refusal != nil {
				return nil, rpc.ConnectError(result.Refusal)
			}

			return connect.NewResponse(toResponse(result.Answer)), nil
		}, rpc.HandlerOptions())
}

// runningLegs holds the running legs, so that another call can cancel them.
type runningLegs struct {
	mu      sync.Mutex
	cancels map[cancelRequest]context.CancelFunc
}

func (r *runningLegs) add(key cancelRequest, cancel context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancels[key] = cancel
}

func (r *runningLegs) remove(key cancelRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.cancels, key)
}

// cancel cancels a leg and reports whether it was running.
func (r *runningLegs) cancel(key cancelRequest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	cancel, found := r.cancels[key]
	if found {
		cancel()
	}

	return found
}
