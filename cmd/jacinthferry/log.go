package main

import (
	"log/slog"
	"os"
	"time"

	"k8s.io/klog/v2"

	"jacinthferry/io/journal"
)

// logJSON makes klog write one JSON object a line to standard error.
func logJSON() {
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(os.Stderr, nil)))
}

// logLines is how many log lines wait for a slow reader at most.
const logLines = 1024

// logTimeout bounds the writing of the last lines at the end of the process.
const logTimeout = 100 * time.Millisecond

// logJSONToOutput makes klog write one JSON object a line to standard output. Lines that a slow
// reader does not take are dropped. The function that it returns writes what waits; afterwards lines
// go to standard error again.
func logJSONToOutput() func() {
	w := journal.NewWriter(os.Stdout, logLines)
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(w, nil)))

	return func() {
		logJSON()
		w.Close(logTimeout)
	}
}
