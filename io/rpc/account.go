package rpc

import (
	"net/http"

	"jacinthferry/core/event"
	"jacinthferry/core/reason"
)

// Account completes and records the refusals of requests that never reached their procedure:
// those that cannot be decoded, are too large, or ask for what is not served.
func Account(record func(event.Event), handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(&accountant{ResponseWriter: w, request: r, record: record}, r)
	})
}

// accountant looks at the head of a response.
type accountant struct {
	http.ResponseWriter
	request *http.Request
	record  func(event.Event)
}

// Unwrap returns the writer beneath, for http.ResponseController.
func (a *accountant) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// WriteHeader completes a refusal that names no reason: no procedure has run then.
func (a *accountant) WriteHeader(status int) {
	word := reason.Code(a.Header().Get(reasonKey))
	if word == "" && status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		word = reason.Invalid
		if status == http.StatusTooManyRequests || status == http.StatusRequestEntityTooLarge {
			word = reason.Size
		}
		a.Header().Set(reasonKey, string(word))
		a.Header().Set(runKey, string(reason.NotExecuted))
	}
	if word == reason.Invalid || word == reason.Size {
		a.record(event.Event{
			Kind: event.Refusal, Reason: word, Detail: a.request.URL.Path + " from " + a.request.RemoteAddr,
		})
	}
	a.ResponseWriter.WriteHeader(status)
}
