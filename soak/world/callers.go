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
	// goneEvery is how many requests a caller sends for one that it gives up early.
	goneEvery = 15
	// goneAfter is how long it waits for that one.
	goneAfter = 6 * clock.Millisecond
	// resolveTimeout bounds a question to a directory, and connectTimeout the opening of a connection.
	resolveTimeout = time.Second
	connectTimeout = time.Second
)

// caller is one client. It keeps connections open and asks directories for addresses.
type caller struct {
	world  *World
	number int
	random *rand.Rand
	client *http.Client
	names  *http.Client
	list   []string
	until  clock.Milli
	sent   int
}

// ask starts the callers. They end when ctx does.
func (w *World) ask(ctx context.Context) *sync.WaitGroup {
	var all sync.WaitGroup
	every := float64(w.options.Clients) / w.options.Rate
	for n := range w.options.Clients {
		c := newCaller(w, n)
		all.Go(func() {
			for ctx.Err() == nil {
				c.ask()
				w.sleep(ctx, clock.Milli((0.5+c.random.Float64())*every)*clock.Second)
			}
			c.client.CloseIdleConnections()
		})
	}

	return &all
}

func newCaller(w *World, n int) *caller {
	dialer := &net.Dialer{Timeout: connectTimeout}
	transport := &http.Transport{
		// A caller reaches a daemon by the proxy before it.
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			for _, d := range w.daemons {
				if d.settings.RequestAddress == address {
					address = d.front.Address()
				}
			}

			return dialer.DialContext(ctx, network, address)
		},
	}

	return &caller{
		world: w, number: n, random: rand.New(rand.NewPCG(w.options.Seed, uint64(n)+2)),
		client: &http.Client{Transport: transport},
		names:  &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: resolveTimeout},
	}
}

// address returns the daemon to ask, or an empty name when no directory tells one.
func (c *caller) address() (address, name string) {
	if c.world.now() >= c.until {
		c.resolve()
	}
	if len(c.list) == 0 {
		return "", ""
	}
	address = c.list[c.random.IntN(len(c.list))]

	return address, c.world.named(address)
}

func (w *World) named(address string) string {
	for _, d := range w.daemons {
		if d.settings.RequestAddress == address {
			return d.settings.Name
		}
	}

	return ""
}

// resolve asks up to three directories for addresses. Those that it had stay when none answers.
func (c *caller) resolve() {
	w := c.world
	for _, n := range c.random.Perm(len(w.daemons))[:min(3, len(w.daemons))] {
		d := w.daemons[n]
		a, err := platform.Resolve(context.Background(), c.names, d.settings.DirectoryAddress, host, zone(c.number))
		if err != nil {
			continue
		}
		c.list, c.until = a.List, w.now()+a.TTL
		listing := check.Listing{At: w.now(), Daemon: d.settings.Name}
		for _, address := range a.List {
			listing.Daemons = append(listing.Daemons, w.named(address))
		}
		w.note(func(l *check.Log) { l.Listings = append(l.Listings, listing) })

		return
	}
}

// drop stops using an address that failed, until a directory names it again.
func (c *caller) drop(address string) {
	c.list = slices.DeleteFunc(slices.Clone(c.list), func(a string) bool { return a == address })
	c.until = 0
}

// once is a body that cannot be sent a second time, so that the HTTP library repeats no request.
type once struct{ io.Reader }

// ask sends one request and notes what comes of it.
func (c *caller) ask() {
	w := c.world
	address, name := c.address()
	if address == "" {
		return
	}
	c.sent++
	a := check.Ask{
		ID: fmt.Sprintf("c%d-%d", c.number, c.sent), Daemon: name, Route: w.operator.asked(c.random.IntN(1000)),
		Method: http.MethodPost, Left: 1500 * clock.Millisecond, Sent: w.now(),
	}
	a.Target, a.Body = a.Route.Prefix+a.ID+"?q=%2F", "ask "+a.ID
	wait := a.Left
	if c.random.IntN(goneEvery) == 0 {
		wait, a.Gone = goneAfter, true
	}
	c.send(&a, address, wait)
	if a.Answer == nil && !a.Gone {
		c.drop(address)
	}
	w.note(func(l *check.Log) { l.Asks = append(l.Asks, a) })
}

func (c *caller) send(a *check.Ask, address string, wait clock.Milli) {
	ctx, cancel := context.WithTimeout(context.Background(), wait.Duration())
	defer cancel()
	defer func() { a.Ended = c.world.now() }()
	r, err := platform.NewCallerRequest(
		ctx, a.Method, address, a.Route.Host, a.Target, a.ID, a.Left, once{strings.NewReader(a.Body)},
	)
	if err != nil {
		a.Broken = true

		return
	}
	r.ContentLength = int64(len(a.Body))
	response, err := c.client.Do(r) //nolint:bodyclose // ReadAnswer closes it.
	if err != nil {
		var broken *net.OpError
		a.Unconnected = errors.As(err, &broken) && broken.Op == "dial"

		return
	}
	answer, err := platform.ReadCallerResponse(response)
	a.Answer, a.Broken = &answer, err != nil
	a.Gone = a.Gone && a.Broken
}
