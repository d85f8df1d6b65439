package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// errDirectory is returned for an answer of a directory that names no daemon.
var errDirectory = errors.New("kit: the directory names no daemon")

// result is a client's request and what came back.
type result struct {
	ID     string
	Method string
	Daemon string
	Sent   time.Time
	Ended  time.Time
	// Status is 0 if there was no answer.
	Status int
	Stamp  string
}

// clients send requests, each to a daemon that a directory named.
type clients struct {
	fleet  *fleet
	http   *http.Client
	last   atomic.Int64
	mu     sync.Mutex
	known  []string
	expiry time.Time
	list   []result
}

func newClients(f *fleet) *clients {
	return &clients{fleet: f, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// resolve asks a directory for the addresses of daemons.
func (c *clients) resolve(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expiry) {
		return c.known, nil
	}
	d := c.fleet.daemons[rand.IntN(len(c.fleet.daemons))]
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	url := "http://" + d.directory + "/-/resolve?name=" + host + "&region=nl-midden&zone=" + d.zone
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil) //nolint:gosec // Addresses are those of the fleet.
	if err != nil {
		return nil, errors.Wrap(err, "kit: cannot ask the directory")
	}
	response, err := c.http.Do(r) //nolint:gosec // As above.
	if err != nil {
		return c.known, nil //nolint:nilerr // The list that is known holds until there is a new one.
	}
	defer func() { _ = response.Body.Close() }()
	var body struct {
		Addresses []string `json:"addrs"`
		TTL       float64  `json:"ttl_s"`
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err == nil && len(body.Addresses) > 0 {
		c.known, c.expiry = body.Addresses, time.Now().Add(time.Duration(body.TTL*float64(time.Second)))
	}
	if len(c.known) == 0 {
		return nil, errDirectory
	}

	return c.known, nil
}

// send sends a request to a daemon and records the result.
func (c *clients) send(address, method, target string, deadline time.Duration) {
	res := result{ID: fmt.Sprintf("%08x", c.last.Add(1)), Method: method, Sent: time.Now()}
	res.Daemon = c.fleet.daemonName(address)
	ctx, cancel := context.WithTimeout(c.fleet.ctx, deadline)
	defer cancel()
	//nolint:gosec // Addresses are those of the fleet.
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+target, nil)
	if err == nil {
		r.Host = host
		r.Header.Set(headerID, res.ID)
		r.Header.Set(headerDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
		var response *http.Response
		if response, err = c.http.Do(r); err == nil { //nolint:gosec // As above.
			_, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
			if err == nil {
				res.Status, res.Stamp = response.StatusCode, response.Header.Get(headerStamp)
			}
		}
	}
	res.Ended = time.Now()
	c.mu.Lock()
	c.list = append(c.list, res)
	c.mu.Unlock()
	c.fleet.logf("client id=%s %s %s to %s sent=%.3f status=%d", res.ID, method, target, res.Daemon,
		res.Sent.Sub(c.fleet.started).Seconds(), res.Status)
}

// daemonName returns the name of the daemon that serves an address.
func (f *fleet) daemonName(address string) string {
	for _, d := range f.daemons {
		if d.front == address {
			return d.name
		}
	}

	return address
}

// stream sends requests at a rate a second, each to a random daemon that the directory names, until ctx ends, and
// waits for the answers.
func (c *clients) stream(ctx context.Context, rate float64, method, target string, deadline time.Duration) {
	var all sync.WaitGroup
	next := time.Now()
	for ctx.Err() == nil {
		next = next.Add(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		all.Go(func() {
			known, err := c.resolve(c.fleet.ctx)
			if err != nil {
				c.fleet.logf("client %v", err)

				return
			}
			c.send(known[rand.IntN(len(known))], method, target, deadline)
		})
	}
	all.Wait()
}

// results returns what has come back so far.
func (c *clients) results() []result {
	c.mu.Lock()
	defer c.mu.Unlock()

	return append([]result(nil), c.list...)
}
