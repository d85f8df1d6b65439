package main

import (
	"log/slog"
	"os"
	"time"

	"k8s.io/klog/v2"

	"jacinthferry/io/journal"
)

// logJSONToStderr makes klog write one JSON object per line to standard error.
func logJSONToStderr() {
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(os.Stderr, nil)))
}

// maxQueuedLines is the capacity of the queue between klog and a slow reader of standard output.
const maxQueuedLines = 1024

// logFlushTimeout is the time limit for writing the queued log lines when the process ends.
const logFlushTimeout = 100 * time.Millisecond

// logJSONToStdout makes klog write one JSON object per line to standard output. Lines that do not fit
// the queue are dropped. The returned function writes the queued lines. Later ones are dropped: klog's logger must not
// be replaced while goroutines of the daemon may still log.
func logJSONToStdout() func() {
	w := journal.NewAsyncWriter(os.Stdout, maxQueuedLines)
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(w, nil)))

	return func() { w.Close(logFlushTimeout) }
}
