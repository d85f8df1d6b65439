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
	// Target is the path and query exactly as the caller sent them, and Path the part before the query.
	Target string
	Path   string
	// Header holds the headers to forward. It has no hop-by-hop headers and none that a daemon sets itself.
	Header http.Header
	Body   []byte
	// Timeout is how long the caller waits after Arrived, or 0 if it gave no deadline.
	Timeout clock.Milli
	Arrived clock.Milli
	// NetworkDelay is the network time between the caller and this daemon in both directions, which counts towards
	// the latency that the caller sees.
	NetworkDelay clock.Milli
}

// Response is the response to a call. It is zero if the caller left.
type Response struct {
	// Forwarded is an upstream's response to forward unchanged, or nil.
	Forwarded *UpstreamResponse
	// Stamps are the signatures of the upstream responses that Body was merged from, and Missing is the
	// number of shards that Body does not cover.
	Stamps  []string
	Missing int
	Body    []byte
	// Refusal is set if there is no response from upstreams. Retry is then how long the caller should wait
	// before a retry, if it may retry.
	Refusal    *reason.Refusal
	RetryAfter clock.Milli
	// release returns the memory of the bodies, or is nil.
	release func()
}

// Release returns the memory that a large response holds. The response must not be used afterwards.
func (r *Response) Release() {
	if r.release != nil {
		r.release()
	}
}

// UpstreamResponse is an upstream's response to one leg.
type UpstreamResponse struct {
	Status int
	Header http.Header
	Body   []byte
	// ID is the ID of the request that it responds to, or empty if the upstream did not report it.
	ID string
	// Stamp is the upstream's signature, or empty if the response has none.
	Stamp string
	// NotRun is set if the upstream reports that it did not run the request, and Misdirected if that is because
	// the address now belongs to another process.
	NotRun      bool
	Misdirected bool
	// ImpliesNotRun is set if the status alone tells a caller that the request has not run.
	ImpliesNotRun bool
	// Load is the load that the upstream reported, or nil.
	Load *balance.Load
	// Limit is the rate limit that the upstream named, or nil.
	Limit *balance.RateLimit
	// Leaving is set if the upstream announced its shutdown, and Pause is for how long it asked this daemon to
	// send nothing, or 0.
	Leaving bool
	Pause   clock.Milli
	// Warmup is how much longer the upstream needs to warm up.
	Warmup clock.Milli
	// held is how many bytes of the memory for responses the header and the body hold.
	held int
}

// Codec converts between calls and the headers of the upstream protocol.
type Codec struct {
	// Encode returns the headers that a daemon adds to a request, left being the time that the upstream
	// has for it. Decode reads the status and headers of a response.
	Encode func(call *Call, u *catalog.Upstream, left clock.Milli) http.Header
	Decode func(status int, header http.Header) UpstreamResponse
}
