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
// which share no lock while the cached entries are valid.
type Client struct {
	zone          string
	seedAddresses []string
	policy        Policy
	newTransport  func() http.RoundTripper
	now           func() clock.Milli
	seeds         []*entry
	budget        *budget

	cached     atomic.Pointer[entryList]
	nextOffset atomic.Uint64
	refreshing atomic.Bool
	fetchLock  chan struct{}
}

// New returns a client for a caller in zone, with the default policy. Seeds are the caller addresses of
// the daemons from which it first fetches the entries.
func New(zone string, seeds []string) *Client {
	return newClient(zone, seeds, DefaultPolicy(), Transport)
}

func newClient(zone string, seeds []string, p Policy, newTransport func() http.RoundTripper) *Client {
	c := &Client{
		zone: zone, seedAddresses: seeds, policy: p, newTransport: newTransport, now: timer.NewClock(),
		budget: newBudget(p.Ratio, p.Burst), fetchLock: make(chan struct{}, 1),
	}
	for _, address := range seeds {
		c.seeds = append(c.seeds, c.newEntry(caller.Entry{Address: address}))
	}

	return c
}

// WithPolicy returns a new client for the same seeds that follows p.
func (c *Client) WithPolicy(p Policy) *Client {
	return newClient(c.zone, c.seedAddresses, p, c.newTransport)
}

// WithTransport returns a new client for the same seeds that calls transport once for each daemon.
func (c *Client) WithTransport(transport func() http.RoundTripper) *Client {
	return newClient(c.zone, c.seedAddresses, c.policy, transport)
}

// idBytes is the number of random bytes in a request id.
const idBytes = 16

// NewID returns a new request id, which contains the time of its creation.
func NewID() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:])

	return ledger.NewID(clock.FromTime(time.Now()), hex.EncodeToString(b[:]))
}

// Deadline returns the time span after now on the client's clock, as a deadline for a request.
func (c *Client) Deadline(span clock.Milli) clock.Milli { return c.now() + span }

// Query sends a query to the nearest daemon and retries it on others where needed. It assigns an id to
// a query without one. The error is a *Error.
func (c *Client) Query(ctx context.Context, r query.Request) (query.Reply, error) {
	if r.ID == "" {
		r.ID = NewID()
	}
	r.Deadline = c.deadlineOrDefault(r.Deadline)
	o := c.sendWithRetries(ctx, r.ID, r.Deadline, func(ctx context.Context, e *entry) (o attemptResult) {
		o.reply, o.err = e.client.Query(ctx, r)

		return o
	})

	return o.reply, o.err
}

// Submit is a non-idempotent request.
type Submit struct {
	// ID identifies the request permanently: an id is run at most once. If it is empty, Client.Submit
	// assigns one; a caller that may have to resend after its own restart chooses and stores its own.
	ID      string
	Service string
	Body    string
	// Deadline is the time after which the caller no longer waits. Zero means the policy's default.
	Deadline clock.Milli
	Priority leg.Priority
	// Resend says that the caller has sent the id before, perhaps before its own restart. A refusal
	// then says that the request was not run only if the ledger proves it.
	Resend bool
}

// Submit sends a non-idempotent request and returns its outcome. Retries use the same id. The error is
// a *Error: its Refusal's Run says whether the request was run, and its ID is the id to resend under
// when that is unknown.
func (c *Client) Submit(ctx context.Context, s Submit) (string, error) {
	if s.ID == "" {
		s.ID = NewID()
	}
	s.Deadline = c.deadlineOrDefault(s.Deadline)
	var sent atomic.Bool
	o := c.sendWithRetries(ctx, s.ID, s.Deadline, func(ctx context.Context, e *entry) (o attemptResult) {
		request := submit.Request(s)
		request.Resend = s.Resend || sent.Swap(true)
		o.submitOutcome, o.err = e.client.Submit(ctx, request)

		return o
	})

	return o.submitOutcome, o.err
}

func (c *Client) deadlineOrDefault(d clock.Milli) clock.Milli {
	if d == 0 {
		return c.Deadline(c.policy.Deadline)
	}

	return d
}
