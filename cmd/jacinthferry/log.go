package main

import (
	"log/slog"
	"os"

	"k8s.io/klog/v2"

	"jacinthferry/io/journal"
)

// logJSON makes klog write one JSON object a line to standard error.
func logJSON() {
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(os.Stderr, nil)))
}

// logLines is how many log lines wait for a slow reader at most.
const logLines = 1024

// logJSONToOutput makes klog write one JSON object a line to standard output. Lines that a slow
// reader does not take are dropped.
func logJSONToOutput() {
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(journal.NewWriter(os.Stdout, logLines), nil)))
}
