package rpc

import (
	"context"
	"log/slog"

	"k8s.io/klog/v2"

	"jacinthferry/io/secure"
)

// complaints takes what an HTTP server has to say, such as a handshake that failed. With an edge
// the lines become events, so that a stranger cannot fill the log.
type complaints struct{ edge *secure.Credentials }

// Enabled reports that every line is taken.
func (c *complaints) Enabled(context.Context, slog.Level) bool { return true }

// Handle takes one line.
func (c *complaints) Handle(_ context.Context, r slog.Record) error {
	if c.edge != nil {
		c.edge.RecordConnectionError(r.Message)
	} else {
		klog.InfoS("server", "detail", r.Message)
	}

	return nil
}

// WithAttrs returns c, because the server adds no attributes.
func (c *complaints) WithAttrs([]slog.Attr) slog.Handler { return c }

// WithGroup returns c, because the server adds no groups.
func (c *complaints) WithGroup(string) slog.Handler { return c }
