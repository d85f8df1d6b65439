package journal

import (
	"fmt"
	"io"
	"sync"

	"jacinthferry/core/clock"
	"jacinthferry/core/event"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"
)

// Log lines of one kind and reason that are written per window; the rest is counted only.
const (
	linesPerWindow = 20
	window         = clock.Second
	// endsPerWindow is the same for lines that say how a request ended that was not answered whole, and
	// heldPerWindow bounds the lines written with them that were held until then.
	endsPerWindow = 50
	heldPerWindow = 100
)

// stream is a sequence of lines that share a rate.
type stream struct {
	kind   event.Kind
	reason string
	held   bool
}

func (s stream) limit() int {
	switch {
	case s.held:
		return heldPerWindow
	case ends(s.kind) && s.kind != event.Answer:
		return endsPerWindow
	default:
		return linesPerWindow
	}
}

// ends reports whether an event of a kind is the last of its request.
func ends(k event.Kind) bool { return k == event.Answer || k == event.Partial || k == event.Refusal }

// rate bounds the lines of a stream.
type rate struct {
	start clock.Milli
	// left is how many lines may be written until the window ends.
	left    int
	skipped int
}

// line is an event that is written.
type line struct {
	event.Event
	// skipped is how many events of its stream were not written before it, and ago how long it was held.
	skipped int
	ago     clock.Milli
}

// Journal records events. It is safe for use by many goroutines.
type Journal struct {
	daemon string
	now    func() clock.Milli
	set    *metrics.Set
	write  func(*line)

	mu    sync.Mutex
	ring  []event.Event
	next  int
	full  bool
	rates map[stream]*rate
	held  *held
}

// New returns a journal for a daemon that keeps the last size events.
func New(daemon string, size int, now func() clock.Milli) *Journal {
	return &Journal{
		daemon: daemon, now: now, set: metrics.NewSet(), write: writeLine, ring: make([]event.Event, size),
		rates: make(map[stream]*rate), held: newHeld(),
	}
}

// Record counts, logs and keeps e. It fills in the time and the daemon.
func (j *Journal) Record(e event.Event) {
	if e.At == 0 {
		e.At = j.now()
	}
	if e.Daemon == "" {
		e.Daemon = j.daemon
	}
	j.set.GetOrCreateCounter(fmt.Sprintf("jacinthferry_events_total{kind=%q,reason=%q}", e.Kind, e.Reason)).Inc()
	lines := j.keep(e)
	for i := range lines {
		j.write(&lines[i])
	}
}

// keep puts e into the ring and returns the lines to write. A line that is one too many is held for its
// request, and written if that is not answered whole.
func (j *Journal) keep(e event.Event) []line {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ring[j.next] = e
	j.next++
	if j.next == len(j.ring) {
		j.next, j.full = 0, true
	}
	for _, one := range j.held.turn(e.At) {
		j.skip(one, e.At)
	}
	var lines []line
	if e.Request != "" && ends(e.Kind) {
		lines = j.release(e)
	}
	r := j.rate(stream{kind: e.Kind, reason: string(e.Reason)}, e.At)
	if r.take() {
		return append(lines, line{Event: e, skipped: r.reset()})
	}
	if e.Request == "" || ends(e.Kind) || !j.held.add(e) {
		r.skipped++
	}

	return lines
}

// release returns the lines that were held for a request, which ends with e. Those of one that was
// answered whole are dropped.
func (j *Journal) release(e event.Event) []line {
	var lines []line
	for _, one := range j.held.take(e.Request) {
		r := j.rate(stream{kind: one.Kind, reason: string(one.Reason), held: true}, e.At)
		if e.Kind == event.Answer || !r.take() {
			j.skip(one, e.At)

			continue
		}
		lines = append(lines, line{Event: one, ago: e.At - one.At})
	}

	return lines
}

// skip counts an event that is not written.
func (j *Journal) skip(e event.Event, at clock.Milli) {
	j.rate(stream{kind: e.Kind, reason: string(e.Reason)}, at).skipped++
}

// rate returns the rate of a stream as of an instant.
func (j *Journal) rate(s stream, at clock.Milli) *rate {
	r := j.rates[s]
	if r == nil {
		r = &rate{start: at, left: s.limit()}
		j.rates[s] = r
	}
	if at-r.start >= window {
		r.start, r.left = at, s.limit()
	}

	return r
}

// take reports whether one more line may be written.
func (r *rate) take() bool {
	if r.left == 0 {
		return false
	}
	r.left--

	return true
}

// reset returns how many lines were not written since it was called last.
func (r *rate) reset() int {
	skipped := r.skipped
	r.skipped = 0

	return skipped
}

func writeLine(e *line) {
	fields := []any{"kind", e.Kind}
	for _, f := range []struct{ key, value string }{
		{"reason", string(e.Reason)},
		{"service", e.Service},
		{"version", e.Version},
		{"zone", e.Zone},
		{"upstream", e.Upstream},
		{"daemon", e.Daemon},
		{"request", e.Request},
		{"detail", e.Detail},
	} {
		if f.value != "" {
			fields = append(fields, f.key, f.value)
		}
	}
	if e.Revision != 0 {
		fields = append(fields, "revision", e.Revision)
	}
	if e.skipped != 0 {
		fields = append(fields, "skipped", e.skipped)
	}
	if e.ago != 0 {
		fields = append(fields, "ago", float64(e.ago))
	}
	klog.InfoS("event", fields...)
}

// Since returns the kept events from an instant on, oldest first.
func (j *Journal) Since(at clock.Milli) []event.Event {
	j.mu.Lock()
	defer j.mu.Unlock()
	var list []event.Event
	start, count := 0, j.next
	if j.full {
		start, count = j.next, len(j.ring)
	}
	for i := range count {
		if e := j.ring[(start+i)%len(j.ring)]; e.At >= at {
			list = append(list, e)
		}
	}

	return list
}

// Metrics returns the set that the counters are in. Other parts of the daemon add theirs to it.
func (j *Journal) Metrics() *metrics.Set { return j.set }

// WriteMetrics writes all metrics in the Prometheus text format.
func (j *Journal) WriteMetrics(w io.Writer) { j.set.WritePrometheus(w) }
