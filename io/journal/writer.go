package journal

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// AsyncWriter writes lines to another writer without blocking the caller. It drops and counts the lines
// that exceed its buffer. It is safe for concurrent use.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	closing chan struct{}
	done    chan struct{}
	dropped atomic.Int64
}

// NewAsyncWriter returns a writer that buffers at most size lines for out.
func NewAsyncWriter(out io.Writer, size int) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, size), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()

	return w
}

// Write buffers or drops one line. It never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}

	return len(line), nil
}

// Close writes the buffered lines and gives up after the timeout. Lines written later are dropped. Close
// must be called only once.
func (w *AsyncWriter) Close(timeout time.Duration) {
	close(w.closing)
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.closing:
			w.drain()

			return
		}
	}
}

// drain writes the buffered lines.
func (w *AsyncWriter) drain() {
	for range len(w.lines) {
		w.write(<-w.lines)
	}
	w.reportDropped()
}

func (w *AsyncWriter) write(line []byte) {
	w.reportDropped()
	_, _ = w.out.Write(line)
}

// reportDropped writes how many lines were dropped since the last report.
func (w *AsyncWriter) reportDropped() {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"msg\":\"log lines dropped\",\"count\":%d}\n", n)
	}
}
