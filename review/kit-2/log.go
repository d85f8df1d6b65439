package main

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"time"
)

// eventLog writes what was sent, answered and run. It is safe for concurrent use.
type eventLog struct {
	start time.Time
	mu    sync.Mutex
	out   *bufio.Writer
}

func newLog(out io.Writer) *eventLog { return &eventLog{start: time.Now(), out: bufio.NewWriter(out)} }

// add writes a line with the time since the start.
func (l *eventLog) add(kind, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.out, "%9.3f %-8s %s\n", time.Since(l.start).Seconds(), kind, text)
	_ = l.out.Flush()
}
