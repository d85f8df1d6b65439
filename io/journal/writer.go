package journal

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Writer writes lines to another writer without blocking the caller. It drops and counts the lines
// that exceed its buffer. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	closing chan struct{}
	done    chan struct{}
	dropped atomic.Int64
}

// NewWriter returns a writer that buffers at most size lines for out.
func NewWriter(out io.Writer, size int) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, size), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()

	return w
}

// Write buffers or drops one line. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}

	return len(line), nil
}

// Close writes the buffered lines and gives up after the timeout. Lines written later are dropped. Close
// must be called only once.
func (w *Writer) Close(timeout time.Duration) {
	close(w.closing)
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

func (w *Writer) run() {
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
func (w *Writer) drain() {
	for range len(w.lines) {
		w.write(<-w.lines)
	}
	w.reportDropped()
}

func (w *Writer) write(line []byte) {
	w.reportDropped()
	_, _ = w.out.Write(line)
}

// reportDropped writes how many lines were dropped since the last report.
func (w *Writer) reportDropped() {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"msg\":\"log lines dropped\",\"count\":%d}\n", n)
	}
}
