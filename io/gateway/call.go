package gateway

import (
	"net/http"

	"jacinthferry/core/balance"
	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/reason"
)

// Call is a caller's request.
type Call struct {
	ID     string
	Method string
	Host   string
	// Target is the path and query as the caller wrote them, and Path the part before the query.
	Target string
	Path   string
	// Header holds what is passed on: none that concerns the connection or that a daemon sets itself.
	Header http.Header
	Body   []byte
	// Left is how long the caller waits from Arrived on, or 0 when it did not say.
	Left    clock.Milli
	Arrived clock.Milli
	// Way is the part of the caller's time that goes by between it and here, both ways.
	Way clock.Milli
}

// Answer is what a caller gets.
type Answer struct {
	// Reply is an upstream's answer that is passed on, or nil.
	Reply *Reply
	// Stamps are the signatures of the parts that Body was merged from, and Missing how many shards
	// it does not cover.
	Stamps  []string
	Missing int
	Body    []byte
	// Refusal is set when there is no answer, and Retry when the caller may come back, if it may.
	Refusal *reason.Refusal
	Retry   clock.Milli
}

// Reply is an upstream's answer to one leg.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// ID is the request that it answers, where the upstream says so.
	ID string
	// Stamp is the upstream's signature.
	Stamp string
	// NotRun is set when the upstream says that it did not run the request, and Other when that is
	// because another process has the address now.
	NotRun bool
	Other  bool
	// Promise is set when the status tells a caller that the request has not run.
	Promise bool
	// Load is what the upstream reported of itself, or nil.
	Load *balance.Load
	// Cold is how much longer the upstream stays cold.
	Cold clock.Milli
}

// Codec writes requests to upstreams and reads their answers.
type Codec struct {
	// Encode returns the headers of a leg, and Decode the meaning of an answer's status and headers.
	Encode func(call *Call, u *catalog.Upstream, left clock.Milli) http.Header
	Decode func(status int, header http.Header) Reply
}
