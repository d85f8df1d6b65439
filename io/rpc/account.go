package rpc

import (
	"net/http"

	"jacinthferry/core/event"
	"jacinthferry/core/reason"
)

// Account adds the missing reason to refusals of requests that never reached their procedure, and
// records them: requests that cannot be decoded, are too large, or name an unknown procedure.
func Account(record func(event.Event), handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(&refusalWriter{ResponseWriter: w, request: r, record: record}, r)
	})
}

// refusalWriter adds a missing reason to a refusal and records refusals for invalid or too large
// requests when the header is written.
type refusalWriter struct {
	http.ResponseWriter
	request *http.Request
	record  func(event.Event)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *refusalWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader adds the reason to a 4xx response without one: no procedure has run then.
func (w *refusalWriter) WriteHeader(status int) {
	code := reason.Code(w.Header().Get(reasonKey))
	if code == "" && status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		code = reason.Invalid
		if status == http.StatusTooManyRequests || status == http.StatusRequestEntityTooLarge {
			code = reason.Size
		}
		w.Header().Set(reasonKey, string(code))
		w.Header().Set(executionKey, string(reason.NotExecuted))
	}
	if code == reason.Invalid || code == reason.Size {
		w.record(event.Event{
			Kind: event.Refusal, Reason: code, Detail: w.request.URL.Path + " from " + w.request.RemoteAddr,
		})
	}
	w.ResponseWriter.WriteHeader(status)
}
