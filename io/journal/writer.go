package journal

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
)

// Writer writes lines without ever making the caller wait: lines that the reader behind it does not
// take in time are dropped and counted.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewWriter returns a writer that holds at most size lines for out.
func NewWriter(out io.Writer, size int) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, size)}
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

func (w *Writer) run() {
	for line := range w.lines {
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.out, "{\"msg\":\"log lines dropped\",\"count\":%d}\n", n)
		}
		_, _ = w.out.Write(line)
	}
}
