package client

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"sync/atomic"
	"time"

	"jacinthferry/core/clock"
	"jacinthferry/core/ledger"
	"jacinthferry/core/leg"
	"jacinthferry/core/query"
	"jacinthferry/core/submit"
	"jacinthferry/io/caller"
	"jacinthferry/io/timer"
)

// Client sends requests to the daemons of one deployment. It is safe for use by many goroutines,
// which share no lock while the entries are current.
type Client struct {
	zone      string
	addresses []string
	policy    Policy
	transport func() http.RoundTripper
	now       func() clock.Milli
	seeds     []*entry
	budget    *budget

	view     atomic.Pointer[view]
	turn     atomic.Uint64
	renewing atomic.Bool
	asking   chan struct{}
}

// New returns a client for a caller in zone, with the default policy. Seeds are caller addresses of
// daemons that it asks first.
func New(zone string, seeds []string) *Client {
	return open(zone, seeds, DefaultPolicy(), Transport)
}

func open(zone string, seeds []string, p Policy, transport func() http.RoundTripper) *Client {
	c := &Client{
		zone: zone, addresses: seeds, policy: p, transport: transport, now: timer.NewClock(),
		budget: newBudget(p.Ratio, p.Burst), asking: make(chan struct{}, 1),
	}
	for _, address := range seeds {
		c.seeds = append(c.seeds, c.entry(caller.Entry{Address: address}))
	}

	return c
}

// WithPolicy returns a new client for the same seeds that follows p.
func (c *Client) WithPolicy(p Policy) *Client { return open(c.zone, c.addresses, p, c.transport) }

// WithTransport returns a new client for the same seeds that opens a transport for each daemon.
func (c *Client) WithTransport(transport func() http.RoundTripper) *Client {
	return open(c.zone, c.addresses, c.policy, transport)
}

// idBytes is how many random bytes make a request id.
const idBytes = 16

// NewID returns an id for a request, which holds the time of its issue.
func NewID() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:])

	return ledger.NewID(clock.FromTime(time.Now()), hex.EncodeToString(b[:]))
}

// Deadline returns the instant that lies span from now.
func (c *Client) Deadline(span clock.Milli) clock.Milli { return c.now() + span }

// Query sends a query to the nearest daemon, and to others if it must. A query without an id gets
// one. The error is a *Error.
func (c *Client) Query(ctx context.Context, r query.Request) (query.Reply, error) {
	if r.ID == "" {
		r.ID = NewID()
	}
	r.Deadline = c.deadline(r.Deadline)
	o := c.try(ctx, r.ID, r.Deadline, func(ctx context.Context, e *entry) (o outcome) {
		o.reply, o.err = e.calls.Query(ctx, r)

		return o
	})

	return o.reply, o.err
}

// Submit is a non-idempotent request.
type Submit struct {
	// ID names the request for good: the same id is run at most once. Submit chooses one if it is
	// empty; a caller that may have to resend after its own restart chooses and keeps its own.
	ID      string
	Service string
	Body    string
	// Deadline is the instant after which the caller no longer waits.
	Deadline clock.Milli
	Priority leg.Priority
	// Resend says that the caller sent the id before, perhaps before its own restart. Then a
	// refusal never says that the request was not run unless the ledger proves it.
	Resend bool
}

// Submit sends a non-idempotent request and returns its outcome. It resends under the same id only.
// The error is a *Error: its Refusal's Run says whether the request was run, and its ID is the one
// to resend under when that is unknown.
func (c *Client) Submit(ctx context.Context, s Submit) (string, error) {
	if s.ID == "" {
		s.ID = NewID()
	}
	s.Deadline = c.deadline(s.Deadline)
	var sent atomic.Bool
	o := c.try(ctx, s.ID, s.Deadline, func(ctx context.Context, e *entry) (o outcome) {
		request := submit.Request(s)
		request.Resend = s.Resend || sent.Swap(true)
		o.text, o.err = e.calls.Submit(ctx, request)

		return o
	})

	return o.text, o.err
}

func (c *Client) deadline(d clock.Milli) clock.Milli {
	if d == 0 {
		return c.Deadline(c.policy.Deadline)
	}

	return d
}
