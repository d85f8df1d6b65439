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

// Limits on the log lines of one kind and reason in a window. Lines beyond them are only counted.
const (
	linesPerWindow = 20
	rateWindow     = clock.Second
	// finalLinesPerWindow applies instead to the last event of a request without a complete answer,
	// and deferredLinesPerWindow to the deferred events that are written with it.
	finalLinesPerWindow    = 50
	deferredLinesPerWindow = 100
)

// limiterKey identifies the lines that share a rate limit.
type limiterKey struct {
	kind     event.Kind
	reason   string
	deferred bool
}

func (k limiterKey) limit() int {
	switch {
	case k.deferred:
		return deferredLinesPerWindow
	case isFinal(k.kind) && k.kind != event.Answer:
		return finalLinesPerWindow
	default:
		return linesPerWindow
	}
}

// isFinal reports whether events of kind k are the last of their request.
func isFinal(k event.Kind) bool { return k == event.Answer || k == event.Partial || k == event.Refusal }

// limiter limits the rate of lines with the same key.
type limiter struct {
	start clock.Milli
	// remaining is how many lines may still be written in the window.
	remaining int
	skipped   int
}

// line is an event to be written to the log.
type line struct {
	event.Event
	// skipped is how many events of the same kind and reason were left out before this one, and delay
	// how long it was deferred.
	skipped int
	delay   clock.Milli
}

// Journal records events. It is safe for concurrent use.
type Journal struct {
	daemon string
	now    func() clock.Milli
	set    *metrics.Set
	write  func(*line)

	mu       sync.Mutex
	ring     []event.Event
	next     int
	full     bool
	limiters map[limiterKey]*limiter
	deferred *deferredEvents
}

// New returns a journal for the named daemon that keeps the last size events.
func New(daemon string, size int, now func() clock.Milli) *Journal {
	return &Journal{
		daemon: daemon, now: now, set: metrics.NewSet(), write: writeLine, ring: make([]event.Event, size),
		limiters: make(map[limiterKey]*limiter), deferred: newDeferredEvents(),
	}
}

// Record counts, logs and stores e. It sets the time and the daemon of e where they are missing.
func (j *Journal) Record(e event.Event) {
	if e.At == 0 {
		e.At = j.now()
	}
	if e.Daemon == "" {
		e.Daemon = j.daemon
	}
	j.set.GetOrCreateCounter(fmt.Sprintf("jacinthferry_events_total{kind=%q,reason=%q}", e.Kind, e.Reason)).Inc()
	lines := j.add(e)
	for i := range lines {
		j.write(&lines[i])
	}
}

// add adds e to the ring and returns the lines to write. A line that exceeds the rate limit is
// deferred until its request ends, and written if the request gets no complete answer.
func (j *Journal) add(e event.Event) []line {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ring[j.next] = e
	j.next++
	if j.next == len(j.ring) {
		j.next, j.full = 0, true
	}
	for _, d := range j.deferred.rotate(e.At) {
		j.countSkipped(d, e.At)
	}
	var lines []line
	if e.Request != "" && isFinal(e.Kind) {
		lines = j.releaseDeferred(e)
	}
	l := j.limiter(limiterKey{kind: e.Kind, reason: string(e.Reason)}, e.At)
	if l.allow() {
		return append(lines, line{Event: e, skipped: l.takeSkipped()})
	}
	if e.Request == "" || isFinal(e.Kind) || !j.deferred.add(e) {
		l.skipped++
	}

	return lines
}

// releaseDeferred returns the deferred lines of the request whose last event is e. It drops them if
// the request was answered completely.
func (j *Journal) releaseDeferred(e event.Event) []line {
	var lines []line
	for _, d := range j.deferred.remove(e.Request) {
		l := j.limiter(limiterKey{kind: d.Kind, reason: string(d.Reason), deferred: true}, e.At)
		if e.Kind == event.Answer || !l.allow() {
			j.countSkipped(d, e.At)

			continue
		}
		lines = append(lines, line{Event: d, delay: e.At - d.At})
	}

	return lines
}

// countSkipped counts an event that is not written.
func (j *Journal) countSkipped(e event.Event, at clock.Milli) {
	j.limiter(limiterKey{kind: e.Kind, reason: string(e.Reason)}, at).skipped++
}

// limiter returns the limiter for k, in a new window if the last one has ended by the instant at.
func (j *Journal) limiter(k limiterKey, at clock.Milli) *limiter {
	l := j.limiters[k]
	if l == nil {
		l = &limiter{start: at, remaining: k.limit()}
		j.limiters[k] = l
	}
	if at-l.start >= rateWindow {
		l.start, l.remaining = at, k.limit()
	}

	return l
}

// allow reports whether one more line may be written, and counts it.
func (l *limiter) allow() bool {
	if l.remaining == 0 {
		return false
	}
	l.remaining--

	return true
}

// takeSkipped returns how many lines were skipped since the last call.
func (l *limiter) takeSkipped() int {
	skipped := l.skipped
	l.skipped = 0

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
		{"print", e.Print},
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
	if e.delay != 0 {
		fields = append(fields, "ago", float64(e.delay))
	}
	klog.InfoS("event", fields...)
}

// Since returns the events in the ring that are not older than at, oldest first.
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

// Metrics returns the set of the event counters. Other packages add their metrics to it.
func (j *Journal) Metrics() *metrics.Set { return j.set }

// WriteMetrics writes all metrics in the Prometheus text format.
func (j *Journal) WriteMetrics(w io.Writer) { j.set.WritePrometheus(w) }
