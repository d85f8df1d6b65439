package main

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Names of the headers between daemons and backends.
const (
	headerID       = "Jacinthferry-Request-Id"
	headerDeadline = "Jacinthferry-Deadline-Ms"
	headerExpect   = "Jacinthferry-Expect-Instance"
	headerStamp    = "Jacinthferry-Server-Stamp"
	headerNotRun   = "Jacinthferry-Not-Executed"
	headerLoad     = "Jacinthferry-Server-Load"
	headerWarmup   = "Jacinthferry-Warmup-Ms"
	headerInstance = "Jacinthferry-Instance-Id"
)

const (
	// heartbeat is the time between two writes of a backend's entry.
	heartbeat = 1200 * time.Millisecond
	// queueLength is how many requests wait for a slot at most.
	queueLength = 16
	// silentBeats is after how many heartbeats of silence an entry is removed.
	silentBeats = 3
	// healthPath is the path of health checks.
	healthPath = "/health"
)

// backendOptions describe a backend.
type backendOptions struct {
	id, service, zone, version string
	slots                      int
	work                       time.Duration
	// crashRate is how many requests in a second crash the backend while it is cold, or 0 if none do.
	crashRate int
	// silentLoad is set if responses do not tell the load.
	silentLoad bool
	// fails reports whether the response to a request is a failure. It may be nil.
	fails func() bool
}

// arrival is a request as a backend received it.
type arrival struct {
	At      time.Time
	ID      string
	Backend string
	Service string
	Version string
	// Cold is set if the backend was cold.
	Cold bool
	Ran  bool
	OK   bool
	// Misdirected is set if the request expected another backend.
	Misdirected bool
}

// backend is a stand-in of a backend. It registers itself and serves until stop.
type backend struct {
	backendOptions
	fleet   *fleet
	address string
	server  *http.Server
	born    int64
	slotsIn chan struct{}
	cancel  context.CancelFunc
	crashed sync.Once

	mu       sync.Mutex
	waiting  int
	draining bool
	// slow is by how many times longer requests take, or 0.
	slow      int
	coldUntil time.Time
	// coldArrivals are the times of the last requests that came while the backend was cold.
	coldArrivals []time.Time
	sequence     int
	// written is what the entry says besides its number.
	written string
}

// startBackend starts a backend that is cold for a time.
func (f *fleet) startBackend(o backendOptions, cold time.Duration) (*backend, error) {
	listener, err := (&net.ListenConfig{}).Listen(f.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(f.ctx)
	b := &backend{
		backendOptions: o, fleet: f, address: listener.Addr().String(), born: time.Now().UnixMilli(),
		slotsIn: make(chan struct{}, o.slots), cancel: cancel, coldUntil: time.Now().Add(cold),
	}
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = b.server.Serve(listener) }()
	go b.beat(ctx)

	return b, nil
}

// beat writes the entry until ctx ends.
func (b *backend) beat(ctx context.Context) {
	for ctx.Err() == nil {
		b.writeEntry()
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

// writeEntry writes the backend's entry to the store.
func (b *backend) writeEntry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	warmup := b.coldLeft().Milliseconds()
	state := "ready"
	if b.draining {
		state = "draining"
	}
	written := fmt.Sprint(state, warmup)
	if written == b.written {
		// The entry changes when more than seq changes.
		return
	}
	b.written = written
	text, err := json.Marshal(map[string]any{
		"service": b.service, "addr": b.address, "zone": b.zone, "version": b.version, "capacity": b.slots,
		"state": state, "warmupMs": warmup, "seq": b.sequence, "born": b.born,
	})
	if err == nil {
		b.fleet.store.put("servers/"+b.id, text)
	}
}

// coldLeft returns how much longer the backend is cold. The lock is held.
func (b *backend) coldLeft() time.Duration { return max(0, time.Until(b.coldUntil)) }

// chill makes the backend cold for a time, and tells so in its entry.
func (b *backend) chill(span time.Duration) {
	b.mu.Lock()
	b.coldUntil = time.Now().Add(span)
	b.mu.Unlock()
	b.writeEntry()
}

// drain tells that the backend drains, and returns when the store acknowledged that. It serves on.
func (b *backend) drain() time.Time {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	b.writeEntry()

	return time.Now()
}

// stop ends the backend and removes its entry.
func (b *backend) stop() {
	b.cancel()
	_ = b.server.Close()
	b.fleet.store.remove("servers/" + b.id)
}

// slowDown makes requests take a number of times as long.
func (b *backend) slowDown(factor int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slow = factor
}

// workTime returns how long a request takes.
func (b *backend) workTime() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.work * time.Duration(max(1, b.slow))
}

// enter takes a slot. It reports false if the queue is full or the request's time is up.
func (b *backend) enter(ctx context.Context, limit time.Duration) bool {
	b.mu.Lock()
	if b.waiting >= queueLength {
		b.mu.Unlock()

		return false
	}
	b.waiting++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.waiting--
		b.mu.Unlock()
	}()
	select {
	case b.slotsIn <- struct{}{}:
		return true
	case <-time.After(limit):
	case <-ctx.Done():
	}

	return false
}

// tellLoad adds the load to a response, if the backend tells it.
func (b *backend) tellLoad(h http.Header) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.silentLoad {
		h.Set(headerLoad, fmt.Sprintf("%d,%d,%d", len(b.slotsIn), b.waiting, b.slots))
	}
}

// isCold reports whether the backend is cold, and for how much longer.
func (b *backend) isCold() (bool, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.coldLeft()

	return left > 0, left
}

// overrun counts a request that came while the backend was cold, and reports whether it crashes the backend.
func (b *backend) overrun() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.coldArrivals = append(b.coldArrivals, now)
	for now.Sub(b.coldArrivals[0]) >= time.Second {
		b.coldArrivals = b.coldArrivals[1:]
	}

	return b.crashRate > 0 && len(b.coldArrivals) > b.crashRate
}

// crash ends the backend at once. Its entry is removed after three heartbeats of silence.
func (b *backend) crash() {
	b.crashed.Do(func() {
		b.fleet.logf("backend %s crashes, overrun while cold", b.id)
		b.fleet.addCrash()
		b.cancel()
		_ = b.server.Close()
		time.AfterFunc(silentBeats*heartbeat, func() { b.fleet.store.remove("servers/" + b.id) })
	})
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == healthPath {
		b.serveHealth(w)

		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	id := r.Header.Get(headerID)
	cold, _ := b.isCold()
	if cold && b.overrun() {
		b.crash()
	}
	a := arrival{At: time.Now(), ID: id, Backend: b.id, Service: b.service, Version: b.version, Cold: cold}
	defer func() { b.fleet.addArrival(a) }()
	h := w.Header()
	h.Set(headerID, id)
	if expected := r.Header.Get(headerExpect); expected != "" && expected != b.id {
		a.Misdirected = true
		h.Set(headerInstance, b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	}
	limit := time.Minute
	if ms, err := strconv.Atoi(r.Header.Get(headerDeadline)); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	if !b.enter(r.Context(), limit) {
		h.Set(headerNotRun, "1")
		b.tellLoad(h)
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	}
	defer func() { <-b.slotsIn }()
	a.Ran = true
	select {
	case <-time.After(b.workTime()):
	case <-r.Context().Done():
		return
	}
	status := http.StatusOK
	if a.OK = b.fails == nil || !b.fails(); !a.OK {
		status = http.StatusInternalServerError
	}
	h.Set(headerStamp, id+"."+b.id+"."+strconv.Itoa(status))
	b.tellLoad(h)
	body := sha256.Sum256([]byte(id + b.id))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body[:]) //nolint:gosec // It is a hash.
}

// serveHealth answers a health check.
func (b *backend) serveHealth(w http.ResponseWriter) {
	_, left := b.isCold()
	w.Header().Set(headerInstance, b.id)
	b.tellLoad(w.Header())
	w.Header().Set(headerWarmup, strconv.FormatInt(left.Milliseconds(), 10))
	b.mu.Lock()
	draining := b.draining
	b.mu.Unlock()
	if draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
