package testbed

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jacinthferry/core/clock"
	"jacinthferry/platform"
	"jacinthferry/soak/check"
)

const (
	// cancelEvery is the mean number of requests of which a caller cancels one early.
	cancelEvery = 15
	// cancelAfter is how long the caller waits before it cancels.
	cancelAfter = 6 * clock.Millisecond
	// resolveTimeout limits a request to a directory, and connectTimeout the opening of a connection.
	resolveTimeout = time.Second
	connectTimeout = time.Second
)

// caller is a client that keeps connections open and gets addresses of daemons from their directories.
type caller struct {
	testbed         *Testbed
	number          int
	random          *rand.Rand
	client          *http.Client
	directoryClient *http.Client
	addresses       []string
	refreshAt       clock.Milli
	sentCount       int
}

// startCallers starts the callers. They stop when ctx is cancelled.
func (tb *Testbed) startCallers(ctx context.Context) *sync.WaitGroup {
	var all sync.WaitGroup
	interval := float64(tb.options.Callers) / tb.options.Rate
	for n := range tb.options.Callers {
		c := newCaller(tb, n)
		all.Go(func() {
			for ctx.Err() == nil {
				c.issueRequest()
				tb.sleep(ctx, clock.Milli((0.5+c.random.Float64())*interval)*clock.Second)
			}
			c.client.CloseIdleConnections()
		})
	}

	return &all
}

func newCaller(tb *Testbed, n int) *caller {
	dialer := &net.Dialer{Timeout: connectTimeout}
	transport := &http.Transport{
		// Callers reach a daemon through its front proxy.
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			for _, d := range tb.daemons {
				if d.settings.RequestAddress == address {
					address = d.frontProxy.Address()
				}
			}

			return dialer.DialContext(ctx, network, address)
		},
	}

	return &caller{
		testbed: tb, number: n, random: rand.New(rand.NewPCG(tb.options.Seed, uint64(n)+2)),
		client:          &http.Client{Transport: transport},
		directoryClient: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: resolveTimeout},
	}
}

// chooseAddress returns the address and name of a random known daemon, or empty strings if none is known.
func (c *caller) chooseAddress() (address, name string) {
	if c.testbed.now() >= c.refreshAt {
		c.resolve()
	}
	if len(c.addresses) == 0 {
		return "", ""
	}
	address = c.addresses[c.random.IntN(len(c.addresses))]

	return address, c.testbed.daemonName(address)
}

func (tb *Testbed) daemonName(address string) string {
	for _, d := range tb.daemons {
		if d.settings.RequestAddress == address {
			return d.settings.Name
		}
	}

	return ""
}

// resolve asks up to three directories for addresses. The known addresses stay if none of them responds.
func (c *caller) resolve() {
	tb := c.testbed
	for _, n := range c.random.Perm(len(tb.daemons))[:min(3, len(tb.daemons))] {
		d := tb.daemons[n]
		a, err := platform.Resolve(
			context.Background(), c.directoryClient, d.settings.DirectoryAddress, host, zoneName(c.number),
		)
		if err != nil {
			continue
		}
		c.addresses, c.refreshAt = a.List, tb.now()+a.TTL
		listing := check.Listing{At: tb.now(), Daemon: d.settings.Name}
		for _, address := range a.List {
			listing.Daemons = append(listing.Daemons, tb.daemonName(address))
		}
		tb.record(func(h *check.History) { h.Listings = append(h.Listings, listing) })

		return
	}
}

// removeAddress stops using an address that failed until a directory lists it again.
func (c *caller) removeAddress(address string) {
	c.addresses = slices.DeleteFunc(slices.Clone(c.addresses), func(a string) bool { return a == address })
	c.refreshAt = 0
}

// singleUseBody hides the methods of its reader that allow a replay, so that net/http does not
// resend the request.
type singleUseBody struct{ io.Reader }

// issueRequest sends one request and records its result.
func (c *caller) issueRequest() {
	tb := c.testbed
	address, name := c.chooseAddress()
	if address == "" {
		return
	}
	c.sentCount++
	req := check.Request{
		ID: fmt.Sprintf("c%d-%d", c.number, c.sentCount), Daemon: name, Route: tb.operator.chooseRoute(c.random.IntN(1000)),
		Method: http.MethodPost, Timeout: 1500 * clock.Millisecond, Sent: tb.now(),
	}
	req.Target, req.Body = req.Route.Prefix+req.ID+"?q=%2F", "ask "+req.ID
	wait := req.Timeout
	if c.random.IntN(cancelEvery) == 0 {
		wait, req.Cancelled = cancelAfter, true
	}
	c.send(&req, address, wait)
	if req.Response == nil && !req.Cancelled {
		c.removeAddress(address)
	}
	tb.record(func(h *check.History) { h.Requests = append(h.Requests, req) })
}

func (c *caller) send(req *check.Request, address string, wait clock.Milli) {
	ctx, cancel := context.WithTimeout(context.Background(), wait.Duration())
	defer cancel()
	defer func() { req.Ended = c.testbed.now() }()
	r, err := platform.NewCallerRequest(
		ctx, req.Method, address, req.Route.Host, req.Target, req.ID, req.Timeout, singleUseBody{strings.NewReader(req.Body)},
	)
	if err != nil {
		req.Unreadable = true

		return
	}
	r.ContentLength = int64(len(req.Body))
	response, err := c.client.Do(r) //nolint:bodyclose // ReadAnswer closes it.
	if err != nil {
		var opErr *net.OpError
		req.DialFailed = errors.As(err, &opErr) && opErr.Op == "dial"

		return
	}
	answer, err := platform.ReadCallerResponse(response)
	req.Response, req.Unreadable = &answer, err != nil
	req.Cancelled = req.Cancelled && req.Unreadable
}
