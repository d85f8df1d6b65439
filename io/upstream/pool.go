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
	"jacinthferry/io/memory"
	"jacinthferry/io/rpc"
	"jacinthferry/io/secure"
)

// Options configure a Pool.
type Options struct {
	Now func() clock.Milli
	// MaxConnections is how many open connections the upstream accepts, 0 if not limited, and Slots how
	// many legs it runs at once.
	MaxConnections int
	Slots          int
	// OverrunMargin is how long a leg can run past its deadline. It also bounds the time from the decision to
	// send a leg to its first byte.
	OverrunMargin clock.Milli
	// SilenceTimeout is how long a connection with an outstanding request may receive no bytes before it is
	// retired.
	SilenceTimeout clock.Milli
	// MaxIdleForSubmit is the longest time since a connection last received bytes at which a submit is sent on it.
	MaxIdleForSubmit clock.Milli
	// Credentials secure the connections; nil leaves them in cleartext.
	Credentials *secure.Credentials
	// OnConnectionFailure is called when a connection breaks that this side did not close, or is retired.
	OnConnectionFailure func(code reason.Code)
	// ResponseMemory limits what the large answers of all upstreams hold while they are read. It may be nil.
	ResponseMemory *memory.Budget
}

// Pool is the client of an upstream's home. It limits and monitors the connections, and reports what
// is known about a leg that got no answer.
type Pool struct {
	options     Options
	connections *connectionSet
	transport   *http.Transport
	client      *Client
	// probe opens a new connection for each call.
	probe *Client
	// semaphore limits the running legs to the number of connections.
	semaphore chan struct{}
}

// NewPool returns a pool for the upstream at address, such as "127.0.0.1:9000".
func NewPool(address string, o Options) *Pool {
	s := newConnectionSet(address, o)
	transport := &http.Transport{
		DialContext: s.dialContext, MaxConnsPerHost: s.limit, MaxIdleConnsPerHost: s.limit, IdleConnTimeout: idleTimeout,
		MaxResponseHeaderBytes: rpc.MaxHeaderBytes,
	}
	singleUse := &http.Transport{
		DialContext: s.dialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: rpc.MaxHeaderBytes,
	}

	return &Pool{
		options: o, connections: s, transport: transport, client: o.newClient(address, transport),
		probe: o.newClient(address, singleUse), semaphore: make(chan struct{}, s.limit),
	}
}

// newClient returns a client that uses the transport within the memory for responses.
func (o *Options) newClient(address string, transport *http.Transport) *Client {
	var tripper http.RoundTripper = &callTransport{
		transport: rpc.CheckStatus(rpc.WithSecret(o.Credentials, transport)),
	}
	if o.ResponseMemory != nil {
		tripper = rpc.LimitResponses(tripper, o.ResponseMemory)
	}

	return NewClient(address, &http.Client{Transport: tripper}, o.Now)
}

// idleTimeout is how long an unused connection is kept open. It is shorter than the idle timeout of
// servers, so that they do not close the connection first.
const idleTimeout = 30 * time.Second

// Run sends the leg and waits for its outcome until the leg's deadline plus margin. To cancel the
// leg, call CancelLeg: Run continues, to learn when the upstream has ended the leg.
func (p *Pool) Run(l leg.Leg) admit.Outcome {
	now := p.options.Now()
	ctx, cancel := context.WithTimeout(context.Background(), (l.Deadline + p.options.OverrunMargin - now).Duration())
	defer cancel()
	if !p.acquire() {
		return admit.Outcome{
			Result: leg.Refused(reason.Stale, reason.NotExecuted, "no connection became free"), Finished: true,
		}
	}
	defer p.release()
	var used *conn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		used, _ = info.Conn.(*conn)
		if used != nil {
			used.beginRequest(now, l.Submit && info.Reused)
		}
	}})
	answer, err := p.client.call(ctx, l, now)
	if err != nil {
		return p.failedOutcome(err, used)
	}
	if used != nil {
		used.endRequest(answer.Incarnation)
	}
	if !answer.Matches(l) {
		p.retireMismatched(used)

		return admit.Outcome{
			Result:   leg.Refused(reason.Mismatch, reason.ExecutionUnknown, "the answer belongs to another leg"),
			Finished: true,
		}
	}

	return admit.Outcome{Result: leg.Result{Answer: answer}, Finished: true}
}

// acquire waits until a connection is free, for as long as a leg may still be sent after the decision.
// A leg that gets a connection too late would cost the connection: the upstream counts it until
// it notices the close, while another one is opened.
func (p *Pool) acquire() bool {
	select {
	case p.semaphore <- struct{}{}:
		return true
	default:
	}
	timeout := time.NewTimer(p.options.OverrunMargin.Duration())
	defer timeout.Stop()
	select {
	case p.semaphore <- struct{}{}:
		return true
	case <-timeout.C:
		return false
	}
}

func (p *Pool) release() { <-p.semaphore }

// failedOutcome returns what is known about a leg that got no answer.
func (p *Pool) failedOutcome(err error, used *conn) admit.Outcome {
	refusal := rpc.RefusalFrom(err)
	if used == nil || !used.wrote.Load() {
		// There was no connection, or nothing was sent on it.
		refusal.Run = reason.NotExecuted

		return admit.Outcome{Result: leg.Result{Refusal: refusal}, Finished: true}
	}
	incarnation := used.incarnation()
	used.endRequest("")
	if connect.IsWireError(err) {
		return admit.Outcome{Result: leg.Result{Refusal: refusal}, Finished: true}
	}
	if code := used.retiredFor(); code != "" {
		refusal.Reason = code
	}

	return admit.Outcome{Result: leg.Result{Refusal: refusal}, Incarnation: incarnation}
}

// retireMismatched retires a connection that carried an answer to another leg.
func (p *Pool) retireMismatched(used *conn) {
	if used != nil {
		used.retire(reason.Mismatch)
	}
}

// controlTimeout bounds the calls that cancel a leg or probe the upstream.
const controlTimeout = time.Second

// CancelLeg asks the upstream to cancel a leg. An upstream that does not implement the call runs the
// leg to its end.
func (p *Pool) CancelLeg(l leg.Leg) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	p.client.cancelLeg(ctx, l)
}

// Report asks the upstream for a report. The error is a *reason.Refusal.
func (p *Pool) Report(ctx context.Context) (Report, error) { return p.client.Report(ctx) }

// OpenConnections opens connections in advance, one for each slot within the limit.
func (p *Pool) OpenConnections() { p.connections.openAhead() }

// Close closes the idle connections, and the others when their requests have ended.
func (p *Pool) Close() {
	p.connections.close()
	p.transport.CloseIdleConnections()
}

// RetireSilent looks for connections that have a request outstanding and receive no bytes. It probes the
// upstream on a new connection, in the background. If the probe is answered, it retires those that
// have been silent for too long.
func (p *Pool) RetireSilent() {
	silentConns := p.connections.silentFor(p.options.Now(), p.options.SilenceTimeout/probeDivisor)
	if len(silentConns) == 0 || !p.connections.probing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer p.connections.probing.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
		defer cancel()
		report, err := p.probe.Report(ctx)
		if err != nil {
			return
		}
		// If the upstream runs fewer legs than are outstanding, some legs or their answers were lost.
		legsLost := report.Load.Running < p.connections.outstanding()
		for _, c := range silentConns {
			if elapsed := c.silentTime(p.options.Now()); elapsed >= p.options.SilenceTimeout ||
				(legsLost && elapsed >= p.options.SilenceTimeout/probeDivisor) {
				c.retire(reason.Silent)
			}
		}
	}()
}

// probeDivisor divides the SilenceTimeout option into the time after which a silent connection is probed.
const probeDivisor = 3
