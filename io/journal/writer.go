package journal

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Writer writes lines without ever making the caller wait: lines that the reader behind it does not
// take in time are dropped and counted.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	closing chan struct{}
	done    chan struct{}
	dropped atomic.Int64
}

// NewWriter returns a writer that holds at most size lines for out.
func NewWriter(out io.Writer, size int) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, size), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()

	return w
}

// Write takes one line.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}

	return len(line), nil
}

// Close writes the lines that wait, for as long as a span at most. Lines that come later are dropped.
func (w *Writer) Close(span time.Duration) {
	close(w.closing)
	select {
	case <-w.done:
	case <-time.After(span):
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

// drain writes the lines that wait.
func (w *Writer) drain() {
	for range len(w.lines) {
		w.write(<-w.lines)
	}
	w.tellDropped()
}

func (w *Writer) write(line []byte) {
	w.tellDropped()
	_, _ = w.out.Write(line)
}

// tellDropped writes how many lines were dropped since it was last told.
func (w *Writer) tellDropped() {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"msg\":\"log lines dropped\",\"count\":%d}\n", n)
	}
}
