package rpc

import (
	"context"
	"log/slog"

	"k8s.io/klog/v2"

	"jacinthferry/io/secure"
)

// errorLogHandler handles the error log of an HTTP server, such as failed handshakes. With
// credentials the lines are recorded as events, so that an unauthenticated peer cannot fill the log.
type errorLogHandler struct{ creds *secure.Credentials }

// Enabled returns true: every line is handled.
func (h *errorLogHandler) Enabled(context.Context, slog.Level) bool { return true }

// Handle records or logs one line.
func (h *errorLogHandler) Handle(_ context.Context, r slog.Record) error {
	if h.creds != nil {
		h.creds.RecordConnectionError(r.Message)
	} else {
		klog.InfoS("server", "detail", r.Message)
	}

	return nil
}

// WithAttrs returns h, since an HTTP server adds no attributes.
func (h *errorLogHandler) WithAttrs([]slog.Attr) slog.Handler { return h }

// WithGroup returns h, since an HTTP server adds no groups.
func (h *errorLogHandler) WithGroup(string) slog.Handler { return h }
