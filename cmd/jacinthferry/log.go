package main

import (
	"log/slog"
	"os"
	"time"

	"k8s.io/klog/v2"

	"jacinthferry/io/journal"
)

// logJSONToStderr makes klog write one JSON object a line to standard error.
func logJSONToStderr() {
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(os.Stderr, nil)))
}

// maxQueuedLines is how many log lines wait for a slow reader at most.
const maxQueuedLines = 1024

// logFlushTimeout bounds the writing of the last lines at the end of the process.
const logFlushTimeout = 100 * time.Millisecond

// logJSONToStdout makes klog write one JSON object a line to standard output. Lines that a slow
// reader does not take are dropped. The function that it returns writes what waits; afterwards lines
// go to standard error again.
func logJSONToStdout() func() {
	w := journal.NewWriter(os.Stdout, maxQueuedLines)
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(w, nil)))

	return func() {
		logJSONToStderr()
		w.Close(logFlushTimeout)
	}
}
