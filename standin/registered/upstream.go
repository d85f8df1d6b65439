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

// Options describe one upstream.
type Options struct {
	ID      string
	Service string
	Zone    string
	Version string
	// Slots is how many requests it runs at once, and Queue how many more wait.
	Slots int
	Queue int
	// Work is how long a request takes.
	Work clock.Milli
	// Address is where it listens. It registers Public, or the address itself when that is empty.
	Address string
	Public  string
	Now     func() clock.Milli
	Store   store.Store
	// Ran takes each request when it is over.
	Ran func(Run)
}

// Faults are what an upstream does wrong. Shares lie between 0 and 1.
type Faults struct {
	// Fail is the share of requests that it answers with 500, Lose that of answers which are lost
	// after the request ran, Cut that of answers which end early, and Extra that of answers which a
	// second one follows.
	Fail, Lose, Cut, Extra float64
	// Times is how many times longer the work takes, or 0.
	Times float64
}

// Run is a request as the upstream saw it.
type Run struct {
	Options  Options
	ID       string
	Expected string
	Method   string
	Target   string
	Body     string
	// Left is the time that the upstream was given.
	Left    clock.Milli
	Arrived clock.Milli
	Ended   clock.Milli
	// Ran is set when it began to run the request, and Good when it answered it well. Dropped is set
	// when the connection was closed before the end.
	Ran     bool
	Good    bool
	Dropped bool
}

const (
	// heartbeat is the time between two writes of an upstream's entry.
	heartbeat = 400 * clock.Millisecond
	// entrySpan is how long the entry outlives the upstream.
	entrySpan = 3 * heartbeat
)

// Upstream is one running stand-in. It is safe for concurrent use.
type Upstream struct {
	options Options
	entry   catalog.Upstream
	address string
	server  *http.Server
	slots   chan struct{}
	cancel  context.CancelFunc
	ended   chan struct{}

	mu       sync.Mutex
	faults   Faults
	waiting  int
	draining bool
	frozen   chan struct{}
	lease    string
	beats    int
}

// Start starts an upstream and registers it.
func Start(ctx context.Context, o Options) (*Upstream, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", o.Address)
	if err != nil {
		return nil, errors.Wrap(err, "registered: cannot listen")
	}
	if o.Public == "" {
		o.Public = listener.Addr().String()
	}
	ctx, cancel := context.WithCancel(ctx)
	u := &Upstream{
		address: listener.Addr().String(), options: o, slots: make(chan struct{}, o.Slots), cancel: cancel,
		ended: make(chan struct{}),
		entry: catalog.Upstream{
			Service: o.Service, Address: o.Public, Zone: o.Zone, Version: o.Version, Slots: o.Slots,
			StartUnixMilli: int64(o.Now()),
		},
	}
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = u.server.Serve(listener) }()
	go u.register(ctx)

	return u, nil
}

// Address returns where it listens.
func (u *Upstream) Address() string { return u.address }

// Options returns what the upstream was started with.
func (u *Upstream) Options() Options { return u.options }

// SetFaults changes what it does wrong.
func (u *Upstream) SetFaults(f Faults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
}

// Freeze stops it until the function that it returns is called.
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

// Drain registers that it leaves and returns when the store has taken that.
func (u *Upstream) Drain(ctx context.Context) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = true

	return u.beat(ctx)
}

// Crash ends it at once. Its entry lapses.
func (u *Upstream) Crash() {
	u.cancel()
	<-u.ended
	_ = u.server.Close()
}

// Leave takes its entry away and ends it.
func (u *Upstream) Leave(ctx context.Context) error {
	u.Crash()
	if err := u.options.Store.Revoke(ctx, u.lease); err != nil {
		return err //nolint:wrapcheck // It is a refusal of the store.
	}

	return nil
}

// register writes the entry until ctx ends.
func (u *Upstream) register(ctx context.Context) {
	defer close(u.ended)
	for ctx.Err() == nil {
		u.mu.Lock()
		frozen := u.frozen
		// What fails is written again with the next heartbeat.
		if frozen == nil {
			_ = u.beat(ctx)
		}
		u.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat.Duration()):
		}
	}
}

// beat writes the entry once.
func (u *Upstream) beat(ctx context.Context) error {
	if u.lease != "" {
		if lease, err := u.options.Store.Renew(ctx, u.lease); err != nil || !lease.Live {
			u.lease = ""
		}
	}
	if u.lease == "" {
		lease, err := u.options.Store.Grant(ctx, entrySpan)
		if err != nil {
			return err //nolint:wrapcheck // It is a refusal of the store.
		}
		u.lease = lease.ID
	}
	u.beats++
	u.entry.Draining = u.draining
	text, err := platform.EncodeUpstream(&u.entry, u.beats)
	if err != nil {
		return err //nolint:wrapcheck // The platform says what is wrong.
	}
	_, err = u.options.Store.Put(ctx, platform.UpstreamKey(u.options.ID), text, store.Any, u.lease)

	return err //nolint:wrapcheck // It is a refusal of the store.
}

// serve runs one request and tells of it.
func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	request := platform.ReadUpstreamRequest(r)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	run := Run{
		Options: u.options, ID: request.ID, Expected: request.ExpectedID, Method: r.Method, Target: r.RequestURI,
		Body: string(body), Left: request.Timeout, Arrived: u.options.Now(),
	}
	defer func() {
		run.Ended = u.options.Now()
		u.options.Ran(run)
	}()
	u.wait(r.Context())
	if request.ExpectedID != "" && request.ExpectedID != u.options.ID {
		u.refuse(w, request.ID, http.StatusMisdirectedRequest)

		return
	}
	if !u.enter(r.Context(), request.Timeout) {
		u.refuse(w, request.ID, http.StatusServiceUnavailable)

		return
	}
	defer func() { <-u.slots }()
	run.Ran = true
	run.Good, run.Dropped = u.work(w, r, &request)
}

// wait returns when the upstream is not frozen, or the caller has left.
func (u *Upstream) wait(ctx context.Context) {
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

// enter takes a slot within the time left. It reports false when the queue is full or time is up.
func (u *Upstream) enter(ctx context.Context, left clock.Milli) bool {
	u.mu.Lock()
	full := u.waiting >= u.options.Queue
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
	if left <= 0 {
		left = clock.Minute
	}
	select {
	case u.slots <- struct{}{}:
		return true
	case <-time.After(left.Duration()):
	case <-ctx.Done():
	}

	return false
}

// work runs a request that has a slot and answers it.
func (u *Upstream) work(w http.ResponseWriter, r *http.Request, request *platform.UpstreamRequest) (
	good, dropped bool,
) {
	u.mu.Lock()
	f := u.faults
	u.mu.Unlock()
	span := u.options.Work * clock.Milli(0.5+rand.Float64())
	if f.Times > 0 {
		span *= clock.Milli(f.Times)
	}
	select {
	case <-time.After(span.Duration()):
	case <-r.Context().Done():
		return false, true
	}
	u.wait(r.Context())

	return u.answer(w, request.ID, f), false
}

// answer writes the answer, or what comes in its place. It reports whether a good one was sent.
func (u *Upstream) answer(w http.ResponseWriter, id string, f Faults) bool {
	o := u.options
	good := rand.Float64() >= f.Fail
	a := platform.UpstreamResponse{
		Status: http.StatusOK, Stamp: Stamp{ID: id, Service: o.Service, Upstream: o.ID, Good: good}.String(), Load: u.load(),
		Body: Body(id, o.Service, o.ID),
	}
	if !good {
		a.Status = http.StatusInternalServerError
	}
	if rand.Float64() < f.Lose {
		panic(http.ErrAbortHandler)
	}
	if rand.Float64() < f.Cut {
		a.Body = a.Body[:len(a.Body)/2]
		platform.WriteUpstreamResponse(&short{ResponseWriter: w}, id, a)

		panic(http.ErrAbortHandler)
	}
	platform.WriteUpstreamResponse(w, id, a)
	if rand.Float64() < f.Extra {
		repeat(w)
	}

	return good
}

// short announces one record more than it writes.
type short struct{ http.ResponseWriter }

func (s *short) WriteHeader(status int) {
	s.Header().Set("Content-Length", "96")
	s.ResponseWriter.WriteHeader(status)
}

// repeat sends bytes after a complete answer on the same connection.
func repeat(w http.ResponseWriter) {
	c, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_ = buffered.Flush()
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
	time.Sleep(time.Second)
}
