package registered

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jacinthferry/core/balance"
	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/io/store"
	"jacinthferry/platform"
)

// Options configure an Upstream.
type Options struct {
	ID      string
	Service string
	Zone    string
	Version string
	// Slots is how many requests run concurrently.
	Slots int
	// MaxQueued is how many more requests may wait for a slot.
	MaxQueued int
	// ServiceTime is the mean service time of a request.
	ServiceTime clock.Milli
	// Address is the address to listen on.
	Address string
	// AdvertisedAddress is the address to register; if empty, it is that of the listener.
	AdvertisedAddress string
	Now               func() clock.Milli
	Store             store.Store
	// OnRequest is called at the end of each request, from several goroutines.
	OnRequest func(Request)
}

// Request records a request as the upstream received and handled it.
type Request struct {
	Options    Options
	ID         string
	ExpectedID string
	Method     string
	Target     string
	Body       string
	// Timeout is the timeout that came with the request.
	Timeout clock.Milli
	Arrived clock.Milli
	Ended   clock.Milli
	// Executed is set if the request got a slot.
	Executed bool
	// OK is set if the request was answered completely and without an injected failure.
	OK bool
	// Cancelled is set if the caller closed the connection before the end of the work.
	Cancelled bool
}

const (
	// heartbeatInterval is the interval at which an upstream writes its entry.
	heartbeatInterval = 400 * clock.Millisecond
	// leaseTTL is the TTL of the lease of the entry. The entry outlives a crash by at most this time.
	leaseTTL = 3 * heartbeatInterval
)

// Upstream is a running stand-in for an upstream. It is safe for concurrent use.
type Upstream struct {
	options      Options
	entry        catalog.Upstream
	address      string
	server       *http.Server
	slots        chan struct{}
	cancel       context.CancelFunc
	registerDone chan struct{}

	mu         sync.Mutex
	faults     Faults
	waiting    int
	draining   bool
	frozen     chan struct{}
	lease      string
	heartbeats int
}

// Start starts an upstream, which registers itself and serves until it is stopped. Its registration also
// ends with ctx.
func Start(ctx context.Context, o Options) (*Upstream, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", o.Address)
	if err != nil {
		return nil, errors.Wrap(err, "registered: cannot open listener")
	}
	if o.AdvertisedAddress == "" {
		o.AdvertisedAddress = listener.Addr().String()
	}
	ctx, cancel := context.WithCancel(ctx)
	u := &Upstream{
		address: listener.Addr().String(), options: o, slots: make(chan struct{}, o.Slots), cancel: cancel,
		registerDone: make(chan struct{}),
		entry: catalog.Upstream{
			Service: o.Service, Address: o.AdvertisedAddress, Zone: o.Zone, Version: o.Version, Slots: o.Slots,
			StartUnixMilli: int64(o.Now()),
		},
	}
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = u.server.Serve(listener) }()
	go u.register(ctx)

	return u, nil
}

// Address returns the address of the listener.
func (u *Upstream) Address() string { return u.address }

// Options returns the options of Start, with the registered address filled in.
func (u *Upstream) Options() Options { return u.options }

// SetFaults replaces the injected faults.
func (u *Upstream) SetFaults(f Faults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
}

// Freeze suspends requests and heartbeats until thaw is called.
func (u *Upstream) Freeze() (thaw func()) {
	frozen := make(chan struct{})
	u.mu.Lock()
	defer u.mu.Unlock()
	u.frozen = frozen

	return sync.OnceFunc(func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		if u.frozen == frozen {
			u.frozen = nil
		}
		close(frozen)
	})
}

// Drain registers the upstream as draining. It returns when the store has accepted or refused that.
func (u *Upstream) Drain(ctx context.Context) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = true

	return u.writeEntry(ctx)
}

// Crash stops the upstream at once and leaves its entry to expire.
func (u *Upstream) Crash() {
	u.cancel()
	<-u.registerDone
	_ = u.server.Close()
}

// Stop stops the upstream at once and removes its entry.
func (u *Upstream) Stop(ctx context.Context) error {
	u.Crash()
	if err := u.options.Store.Revoke(ctx, u.lease); err != nil {
		return err //nolint:wrapcheck // It is a refusal of the store.
	}

	return nil
}

// register writes the entry until ctx ends.
func (u *Upstream) register(ctx context.Context) {
	defer close(u.registerDone)
	for ctx.Err() == nil {
		u.mu.Lock()
		frozen := u.frozen
		// A failed write is retried at the next heartbeat.
		if frozen == nil {
			_ = u.writeEntry(ctx)
		}
		u.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval.Duration()):
		}
	}
}

// writeEntry writes the entry once, under a new lease if the last one has expired.
func (u *Upstream) writeEntry(ctx context.Context) error {
	if u.lease != "" {
		if lease, err := u.options.Store.Renew(ctx, u.lease); err != nil || !lease.Live {
			u.lease = ""
		}
	}
	if u.lease == "" {
		lease, err := u.options.Store.Grant(ctx, leaseTTL)
		if err != nil {
			return err //nolint:wrapcheck // It is a refusal of the store.
		}
		u.lease = lease.ID
	}
	u.heartbeats++
	u.entry.Draining = u.draining
	text, err := platform.EncodeUpstream(&u.entry, u.heartbeats)
	if err != nil {
		return err //nolint:wrapcheck // The platform says what is wrong.
	}
	_, err = u.options.Store.Put(ctx, platform.UpstreamKey(u.options.ID), text, store.Any, u.lease)

	return err //nolint:wrapcheck // It is a refusal of the store.
}

// serve handles one request and passes a record of it to the callback of the options.
func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	request := platform.ReadUpstreamRequest(r)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	run := Request{
		Options: u.options, ID: request.ID, ExpectedID: request.ExpectedID, Method: r.Method, Target: r.RequestURI,
		Body: string(body), Timeout: request.Timeout, Arrived: u.options.Now(),
	}
	defer func() {
		run.Ended = u.options.Now()
		u.options.OnRequest(run)
	}()
	u.waitUntilThawed(r.Context())
	if request.ExpectedID != "" && request.ExpectedID != u.options.ID {
		u.refuse(w, request.ID, http.StatusMisdirectedRequest)

		return
	}
	if !u.acquireSlot(r.Context(), request.Timeout) {
		u.refuse(w, request.ID, http.StatusServiceUnavailable)

		return
	}
	defer func() { <-u.slots }()
	run.Executed = true
	run.OK, run.Cancelled = u.execute(w, r, &request)
}

// waitUntilThawed blocks while the upstream is frozen, or until ctx ends.
func (u *Upstream) waitUntilThawed(ctx context.Context) {
	u.mu.Lock()
	frozen := u.frozen
	u.mu.Unlock()
	if frozen == nil {
		return
	}
	select {
	case <-frozen:
	case <-ctx.Done():
	}
}

func (u *Upstream) refuse(w http.ResponseWriter, id string, status int) {
	platform.WriteUpstreamResponse(w, id, platform.UpstreamResponse{Status: status, NotRun: true, Load: u.load()})
}

func (u *Upstream) load() balance.Load {
	u.mu.Lock()
	defer u.mu.Unlock()

	return balance.Load{Running: len(u.slots), Waiting: u.waiting, Slots: u.options.Slots}
}

// acquireSlot takes a slot within the timeout, or a minute if there is none. It reports false if the queue is full
// or the time is up.
func (u *Upstream) acquireSlot(ctx context.Context, timeout clock.Milli) bool {
	u.mu.Lock()
	full := u.waiting >= u.options.MaxQueued
	if !full {
		u.waiting++
	}
	u.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.waiting--
	}()
	if timeout <= 0 {
		timeout = clock.Minute
	}
	select {
	case u.slots <- struct{}{}:
		return true
	case <-time.After(timeout.Duration()):
	case <-ctx.Done():
	}

	return false
}

// execute runs a request that has a slot and responds to it.
func (u *Upstream) execute(w http.ResponseWriter, r *http.Request, request *platform.UpstreamRequest) (
	good, dropped bool,
) {
	u.mu.Lock()
	f := u.faults
	u.mu.Unlock()
	duration := u.options.ServiceTime * clock.Milli(0.5+rand.Float64())
	if f.SlowdownFactor > 0 {
		duration *= clock.Milli(f.SlowdownFactor)
	}
	select {
	case <-time.After(duration.Duration()):
	case <-r.Context().Done():
		return false, true
	}
	u.waitUntilThawed(r.Context())

	return u.respond(w, request.ID, f), false
}

// respond writes the response with the faults of f. It reports whether it was one without an injected failure.
func (u *Upstream) respond(w http.ResponseWriter, id string, f Faults) bool {
	o := u.options
	good := rand.Float64() >= f.ErrorShare
	a := platform.UpstreamResponse{
		Status: http.StatusOK, Stamp: Stamp{ID: id, Service: o.Service, Upstream: o.ID, OK: good}.String(), Load: u.load(),
		Body: ResponseBody(id, o.Service, o.ID),
	}
	if !good {
		a.Status = http.StatusInternalServerError
	}
	if rand.Float64() < f.LostShare {
		panic(http.ErrAbortHandler)
	}
	if rand.Float64() < f.TruncatedShare {
		a.Body = a.Body[:len(a.Body)/2]
		platform.WriteUpstreamResponse(&truncatedWriter{ResponseWriter: w}, id, a)

		panic(http.ErrAbortHandler)
	}
	if rand.Float64() < f.EndlessShare {
		sendWithoutEnd(w)

		return false
	}
	platform.WriteUpstreamResponse(w, id, a)
	if rand.Float64() < f.ExtraResponseShare {
		sendExtraResponse(w)
	}

	return good
}
