package rpc

import (
	"fmt"
	"net/http"
	"strings"

	"connectrpc.com/connect"
	"k8s.io/klog/v2"

	"jacinthferry/core/event"
	"jacinthferry/core/reason"
	"jacinthferry/io/secure"
)

// The header that carries a shared key.
const (
	secretHeader = "Authorization"
	secretPrefix = "Bearer "
)

// bearer sends an edge's shared key with each request.
type bearer struct {
	edge      *secure.Credentials
	transport *http.Transport
}

// RoundTrip sends the request.
func (b *bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	if secret := b.edge.Secret(); secret != "" {
		r = r.Clone(r.Context())
		r.Header.Set(secretHeader, secretPrefix+secret)
	}

	return b.transport.RoundTrip(r)
}

// CloseIdleConnections closes the connections that carry no request.
func (b *bearer) CloseIdleConnections() { b.transport.CloseIdleConnections() }

// Guard lets in only requests that carry one of edge's shared keys, and records the others.
func Guard(edge *secure.Credentials, handler http.Handler) http.Handler {
	writer := connect.NewErrorWriter(HandlerOptions())

	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if edge.AcceptsSecret(strings.TrimPrefix(r.Header.Get(secretHeader), secretPrefix)) {
			handler.ServeHTTP(w, r)

			return
		}
		detail := "no shared key that is known here"
		edge.RecordUnauthenticated(fmt.Sprintf("%s from %s to %s", detail, r.RemoteAddr, r.URL.Path))
		refuse(w, r, writer, reason.NewRefusal(reason.Stranger, reason.NotExecuted, detail))
	})
}

// Recover turns a panic of handler into a refusal, and records it.
func Recover(record func(event.Event), handler http.Handler) http.Handler {
	writer := connect.NewErrorWriter(HandlerOptions())

	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			p := recover()
			if p == nil {
				return
			}
			if p == http.ErrAbortHandler { //nolint:errorlint // The standard library panics with this value itself.
				panic(p)
			}
			detail := fmt.Sprintf("panic in %s: %v", r.URL.Path, p)
			record(event.Event{Kind: event.Refusal, Reason: reason.Internal, Detail: detail})
			klog.ErrorSDepth(1, nil, "panic in a handler", "path", r.URL.Path, "panic", fmt.Sprint(p))
			refuse(
				w, r, writer, reason.NewRefusal(reason.Internal, reason.ExecutionUnknown, "the daemon failed at this request"),
			)
		}()
		handler.ServeHTTP(w, r)
	})
}

// refuse answers with a typed error where the request is of this protocol, and with plain text
// otherwise.
func refuse(w http.ResponseWriter, r *http.Request, writer *connect.ErrorWriter, refusal *reason.Refusal) {
	err := Refuse(refusal)
	if writer.IsSupported(r) {
		_ = writer.Write(w, r, err)

		return
	}
	status := http.StatusInternalServerError
	if refusal.Reason == reason.Stranger {
		status = http.StatusUnauthorized
	}
	http.Error(w, refusal.Error(), status)
}
