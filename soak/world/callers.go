package world

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
	// resolveTimeout limits a request to a directory, and connectTimeout the opening of a
	// connection.
	resolveTimeout = time.Second
	connectTimeout = time.Second
)

// caller is a client that keeps connections open and gets addresses of daemons from their
// directories.
type caller struct {
	world           *World
	number          int
	random          *rand.Rand
	client          *http.Client
	directoryClient *http.Client
	addresses       []string
	refreshAt       clock.Milli
	sentCount       int
}

// startCallers starts the callers. They stop when ctx is cancelled.
func (w *World) startCallers(ctx context.Context) *sync.WaitGroup {
	var all sync.WaitGroup
	interval := float64(w.options.Clients) / w.options.Rate
	for n := range w.options.Clients {
		c := newCaller(w, n)
		all.Go(func() {
			for ctx.Err() == nil {
				c.issueRequest()
				w.sleep(ctx, clock.Milli((0.5+c.random.Float64())*interval)*clock.Second)
			}
			c.client.CloseIdleConnections()
		})
	}

	return &all
}

func newCaller(w *World, n int) *caller {
	dialer := &net.Dialer{Timeout: connectTimeout}
	transport := &http.Transport{
		// Callers reach a daemon through its front proxy.
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			for _, d := range w.daemons {
				if d.settings.Front == address {
					address = d.frontProxy.Address()
				}
			}

			return dialer.DialContext(ctx, network, address)
		},
	}

	return &caller{
		world: w, number: n, random: rand.New(rand.NewPCG(w.options.Seed, uint64(n)+2)),
		client:          &http.Client{Transport: transport},
		directoryClient: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: resolveTimeout},
	}
}

// chooseAddress returns the address and name of a random known daemon, or empty strings if none is
// known.
func (c *caller) chooseAddress() (address, name string) {
	if c.world.now() >= c.refreshAt {
		c.resolve()
	}
	if len(c.addresses) == 0 {
		return "", ""
	}
	address = c.addresses[c.random.IntN(len(c.addresses))]

	return address, c.world.daemonName(address)
}

func (w *World) daemonName(address string) string {
	for _, d := range w.daemons {
		if d.settings.Front == address {
			return d.settings.Name
		}
	}

	return ""
}

// resolve asks up to three directories for addresses. The known addresses stay if none of them
// responds.
func (c *caller) resolve() {
	w := c.world
	for _, n := range c.random.Perm(len(w.daemons))[:min(3, len(w.daemons))] {
		d := w.daemons[n]
		a, err := platform.Resolve(context.Background(), c.directoryClient, d.settings.Directory, host, zoneName(c.number))
		if err != nil {
			continue
		}
		c.addresses, c.refreshAt = a.List, w.now()+a.Keep
		listing := check.Listing{At: w.now(), Daemon: d.settings.Name}
		for _, address := range a.List {
			listing.Daemons = append(listing.Daemons, w.daemonName(address))
		}
		w.record(func(l *check.Log) { l.Listings = append(l.Listings, listing) })

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
	w := c.world
	address, name := c.chooseAddress()
	if address == "" {
		return
	}
	c.sentCount++
	a := check.Ask{
		ID: fmt.Sprintf("c%d-%d", c.number, c.sentCount), Daemon: name, Route: w.operator.chooseRoute(c.random.IntN(1000)),
		Method: http.MethodPost, Left: 1500 * clock.Millisecond, Sent: w.now(),
	}
	a.Target, a.Body = a.Route.Prefix+a.ID+"?q=%2F", "ask "+a.ID
	wait := a.Left
	if c.random.IntN(cancelEvery) == 0 {
		wait, a.Gone = cancelAfter, true
	}
	c.send(&a, address, wait)
	if a.Answer == nil && !a.Gone {
		c.removeAddress(address)
	}
	w.record(func(l *check.Log) { l.Asks = append(l.Asks, a) })
}

func (c *caller) send(a *check.Ask, address string, wait clock.Milli) {
	ctx, cancel := context.WithTimeout(context.Background(), wait.Duration())
	defer cancel()
	defer func() { a.Ended = c.world.now() }()
	r, err := platform.NewRequest(
		ctx, a.Method, address, a.Route.Host, a.Target, a.ID, a.Left, singleUseBody{strings.NewReader(a.Body)},
	)
	if err != nil {
		a.Broken = true

		return
	}
	r.ContentLength = int64(len(a.Body))
	response, err := c.client.Do(r) //nolint:bodyclose // ReadAnswer closes it.
	if err != nil {
		var opErr *net.OpError
		a.Unconnected = errors.As(err, &opErr) && opErr.Op == "dial"

		return
	}
	answer, err := platform.ReadAnswer(response)
	a.Answer, a.Broken = &answer, err != nil
	a.Gone = a.Gone && a.Broken
}
