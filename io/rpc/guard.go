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

// bearerTransport adds the shared key of its credentials to each request.
type bearerTransport struct {
	creds     *secure.Credentials
	transport *http.Transport
}

// RoundTrip sends r with the shared key, or unchanged if there is none.
func (b *bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if secret := b.creds.Secret(); secret != "" {
		r = r.Clone(r.Context())
		r.Header.Set(secretHeader, secretPrefix+secret)
	}

	return b.transport.RoundTrip(r)
}

// CloseIdleConnections closes the idle connections of the transport.
func (b *bearerTransport) CloseIdleConnections() { b.transport.CloseIdleConnections() }

// RequireSecret passes only requests with one of the shared keys of creds to handler, and refuses and records the
// others.
func RequireSecret(creds *secure.Credentials, handler http.Handler) http.Handler {
	writer := connect.NewErrorWriter(HandlerOptions())

	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if creds.AcceptsSecret(strings.TrimPrefix(r.Header.Get(secretHeader), secretPrefix)) {
			handler.ServeHTTP(w, r)

			return
		}
		detail := "missing or unknown shared key"
		creds.RecordUnauthenticated(fmt.Sprintf("%s from %s to %s", detail, r.RemoteAddr, r.URL.Path))
		writeRefusal(w, r, writer, reason.NewRefusal(reason.Stranger, reason.NotExecuted, detail))
	})
}

// Recover answers a request with a refusal if handler panics, and records the panic. It passes
// http.ErrAbortHandler on.
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
			writeRefusal(
				w, r, writer, reason.NewRefusal(reason.Internal, reason.ExecutionUnknown, "internal error in the daemon"),
			)
		}()
		handler.ServeHTTP(w, r)
	})
}

// writeRefusal writes refusal as a connect error if r is a connect request, and as plain text
// otherwise.
func writeRefusal(w http.ResponseWriter, r *http.Request, writer *connect.ErrorWriter, refusal *reason.Refusal) {
	err := ConnectError(refusal)
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
