package upstream

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"time"

	"connectrpc.com/connect"

	"jacinthferry/core/admit"
	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/reason"
	"jacinthferry/io/rpc"
	"jacinthferry/io/secure"
)

// Options are what a Pool needs to know.
type Options struct {
	Now func() clock.Milli
	// Connections is how many open connections the upstream accepts, and Slots how many legs it runs
	// at once.
	Connections int
	Slots       int
	// Margin is how long after its deadline a leg can still run.
	Margin clock.Milli
	// Silent is how long a connection with outstanding work carries no bytes before it is retired.
	Silent clock.Milli
	// Fresh is how old a connection's last sign of life is at most when a submit goes out on it.
	Fresh clock.Milli
	// Edge secures the connections; nil leaves them in cleartext.
	Edge *secure.Credentials
	// Broken is called when a connection broke that was not closed here.
	Broken func(why reason.Code)
}

// Pool calls one upstream as its home does: it bounds and watches the connections, and tells what is
// known of a leg whose call brought no answer.
type Pool struct {
	options     Options
	connections *connections
	transport   *http.Transport
	client      *Client
	// probe opens a connection of its own for each call.
	probe *Client
	// turns has room for as many legs as there may be connections.
	turns chan struct{}
}

// NewPool returns a pool for the upstream at address, which looks like "127.0.0.1:9000".
func NewPool(address string, o Options) *Pool {
	k := newConnections(address, o)
	transport := &http.Transport{
		DialContext: k.dialContext, MaxConnsPerHost: k.limit, MaxIdleConnsPerHost: k.limit, IdleConnTimeout: idleTimeout,
	}
	once := &http.Transport{DialContext: k.dialContext, DisableKeepAlives: true}

	return &Pool{
		options: o, connections: k, transport: transport,
		client: New(address, &http.Client{Transport: rpc.Bearing(o.Edge, transport)}, o.Now),
		probe:  New(address, &http.Client{Transport: rpc.Bearing(o.Edge, once)}, o.Now),
		turns:  make(chan struct{}, k.limit),
	}
}

// idleTimeout is how long an unused connection is kept open. It is shorter than that of servers, so
// that they do not close it first.
const idleTimeout = 30 * time.Second

// Run sends the leg and waits for its outcome until the leg's deadline and margin are over. To give
// up on the leg, call Stop: Run goes on, so that it learns when the upstream has ended the leg.
func (p *Pool) Run(l leg.Leg) admit.Outcome {
	now := p.options.Now()
	ctx, cancel := context.WithTimeout(context.Background(), (l.Deadline + p.options.Margin - now).Duration())
	defer cancel()
	if !p.enter() {
		return admit.Outcome{Result: leg.Refused(reason.Stale, reason.NotExecuted, "no connection was free"), Finished: true}
	}
	defer p.leave()
	var used *conn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		used, _ = info.Conn.(*conn)
		if used != nil {
			used.begin(now, l.Submit && info.Reused)
		}
	}})
	answer, err := p.client.call(ctx, l, now)
	if err != nil {
		return p.failed(err, used)
	}
	if used != nil {
		used.end(answer.Incarnation)
	}
	if !answer.Matches(l) {
		p.crossed(used)

		return admit.Outcome{
			Result:   leg.Refused(reason.Mismatch, reason.ExecutionUnknown, "the answer is for another leg"),
			Finished: true,
		}
	}

	return admit.Outcome{Result: leg.Result{Answer: answer}, Finished: true}
}

// enter waits until a connection is free, for as long as a leg may still go out after its decision.
// A leg that came too late on a connection would cost the connection: the upstream counts it until
// it notices the close, while another one is opened.
func (p *Pool) enter() bool {
	select {
	case p.turns <- struct{}{}:
		return true
	default:
	}
	patience := time.NewTimer(p.options.Margin.Duration())
	defer patience.Stop()
	select {
	case p.turns <- struct{}{}:
		return true
	case <-patience.C:
		return false
	}
}

func (p *Pool) leave() { <-p.turns }

// failed says what is known of a leg whose call brought no answer.
func (p *Pool) failed(err error, used *conn) admit.Outcome {
	refusal := rpc.Refusal(err)
	if used == nil || !used.wrote.Load() {
		// No connection was to be had, or nothing was sent on it.
		refusal.Run = reason.NotExecuted

		return admit.Outcome{Result: leg.Result{Refusal: refusal}, Finished: true}
	}
	incarnation := used.incarnation()
	used.end("")
	if connect.IsWireError(err) {
		return admit.Outcome{Result: leg.Result{Refusal: refusal}, Finished: true}
	}
	if why := used.reason(); why != "" {
		refusal.Reason = why
	}

	return admit.Outcome{Result: leg.Result{Refusal: refusal}, Incarnation: incarnation}
}

// crossed retires a connection that carried an answer to another request.
func (p *Pool) crossed(used *conn) {
	if used != nil {
		used.retire(reason.Mismatch)
	}
}

// stopTimeout bounds the call that stops a leg.
const stopTimeout = time.Second

// Stop asks the upstream to give up on a leg. An upstream that does not know the call runs the leg
// to its end.
func (p *Pool) Stop(l leg.Leg) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	p.client.stop(ctx, l)
}

// Report asks the upstream about itself. The error is a *reason.Refusal.
func (p *Pool) Report(ctx context.Context) (Report, error) { return p.client.Report(ctx) }

// Prepare opens connections ahead of the legs that will need them.
func (p *Pool) Prepare() { p.connections.prepare() }

// Close closes the connections that carry no request, and the others when theirs has ended.
func (p *Pool) Close() {
	p.connections.close()
	p.transport.CloseIdleConnections()
}

// Inspect looks for connections that have work outstanding and carry no bytes. When a new
// connection to the upstream answers, such a connection is retired.
func (p *Pool) Inspect() {
	quiet := p.connections.quiet(p.options.Now(), p.options.Silent/quietParts)
	if len(quiet) == 0 || !p.connections.probing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer p.connections.probing.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		report, err := p.probe.Report(ctx)
		if err != nil {
			return
		}
		// An upstream that runs fewer legs than are outstanding has lost some of them, or their
		// answers were lost.
		lost := report.Load.Running < p.connections.busy()
		for _, k := range quiet {
			if silent := k.silence(p.options.Now()); silent >= p.options.Silent ||
				(lost && silent >= p.options.Silent/quietParts) {
				k.retire(reason.Silent)
			}
		}
	}()
}

// quietParts is the part of the silent time after which a connection is looked at.
const quietParts = 3
