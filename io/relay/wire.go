package relay

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"jacinthferry/core/balance"
	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/gather"
	"jacinthferry/core/quarantine"
	"jacinthferry/core/reason"
	"jacinthferry/io/gateway"
)

// Path is the URL path at which a daemon accepts relay connections.
const Path = "/relay"

// maxMessageBytes is the size of the largest message that is read.
const maxMessageBytes = 8 << 20

// ErrNoResponse is the reason for closing a connection to a daemon that does not respond to a group in time, or
// does not read its messages.
var ErrNoResponse = errors.New("relay: remote daemon did not respond in time")

// ErrInvalidMessage is returned for a message that cannot be decoded or is of an unexpected kind.
var ErrInvalidMessage = errors.New("relay: invalid message")

// message is the unit of the protocol. One of its fields is set.
type message struct {
	Request *request `cbor:"ask,omitempty"`
	// Cancel is the ID of the request to be cancelled.
	Cancel   uint64    `cbor:"cancel,omitempty"`
	Response *response `cbor:"delivery,omitempty"`
	Warnings []warning `cbor:"warnings,omitempty"`
}

// warning is what the sender knows of a request that crashes the upstreams that run it.
type warning struct {
	Print     uint64      `cbor:"print"`
	Crashes   []uint64    `cbor:"crashes"`
	Remaining clock.Milli `cbor:"remaining"`
}

func newWarning(w quarantine.Warning) warning {
	return warning{Print: uint64(w.Fingerprint), Crashes: w.Crashes, Remaining: w.Remaining}
}

// quarantineWarning returns the warning, or false if it is invalid.
func (w *warning) quarantineWarning() (quarantine.Warning, bool) {
	valid := w.Remaining > 0 && w.Remaining <= quarantine.Period && len(w.Crashes) <= quarantine.CrashLimit

	return quarantine.Warning{
		Fingerprint: quarantine.Fingerprint(w.Print), Crashes: w.Crashes, Remaining: w.Remaining,
	}, valid
}

// request hands over legs of one call.
type request struct {
	// ID identifies the request on its connection. RequestID is the ID of the caller's request.
	ID        uint64              `cbor:"id"`
	RequestID string              `cbor:"request"`
	Method    string              `cbor:"method"`
	Host      string              `cbor:"host"`
	Target    string              `cbor:"target"`
	Header    map[string][]string `cbor:"header,omitempty"`
	Body      []byte              `cbor:"body,omitempty"`
	MergeWait clock.Milli         `cbor:"wait"`
	Top       int                 `cbor:"top"`
	Legs      []leg               `cbor:"legs"`
}

// leg is encoded as an array to save space, as a request has many.
type leg struct {
	_              struct{} `cbor:",toarray"`
	Number         int
	Upstream       string
	StartUnixMilli int64
	Service        string
	Address        string
	Zone           string
	Slots          int
	// Timeout is how long the upstream may work. It is relative, so that clocks need not agree.
	Timeout clock.Milli
}

// response returns results of legs. Body holds the merged records of all successful results.
type response struct {
	ID      uint64      `cbor:"id"`
	Results []legResult `cbor:"parts"`
	// Limits are the rate limits that upstreams named, by the number of the leg.
	Limits map[int]float64 `cbor:"limits,omitempty"`
	// Leaving are the numbers of the legs whose upstreams announced their shutdown, and Pauses for how long upstreams
	// asked to get no request, by the number of the leg.
	Leaving []int               `cbor:"leaving,omitempty"`
	Pauses  map[int]clock.Milli `cbor:"pauses,omitempty"`
	Body    []byte              `cbor:"body,omitempty"`
}

// legResult is encoded as an array to save space, as a response has many.
type legResult struct {
	_          struct{} `cbor:",toarray"`
	Number     int
	OK         bool
	Sent       bool
	Execution  string
	Reason     string
	Stamp      string
	MergeDelay clock.Milli
	Warmup     clock.Milli
	// Load is empty, or the running and waiting requests and the slots of the upstream.
	Load []int
}

func newRequest(id uint64, call *gateway.Call, group *gather.ZoneGroup, now clock.Milli) *request {
	r := &request{
		ID: id, RequestID: call.ID, Method: call.Method, Host: call.Host, Target: call.Target, Header: call.Header,
		Body: call.Body, MergeWait: group.MergeWait, Top: group.Top,
	}
	for i := range group.Legs {
		l := &group.Legs[i]
		u := l.Upstream
		r.Legs = append(r.Legs, leg{
			Number: l.Number, Upstream: u.ID, StartUnixMilli: u.StartUnixMilli, Service: u.Service, Address: u.Address,
			Zone: u.Zone, Slots: u.Slots, Timeout: max(clock.Millisecond, l.Deadline-now),
		})
	}

	return r
}

// call returns the call whose legs are to be sent.
func (r *request) call(now clock.Milli) *gateway.Call {
	return &gateway.Call{
		ID: r.RequestID, Method: r.Method, Host: r.Host, Target: r.Target, Header: r.Header, Body: r.Body, Arrived: now,
	}
}

func (r *request) relayLegs() []gateway.RelayLeg {
	list := make([]gateway.RelayLeg, 0, len(r.Legs))
	for _, l := range r.Legs {
		list = append(list, gateway.RelayLeg{
			Number: l.Number, Timeout: l.Timeout, Upstream: catalog.Upstream{
				ID: l.Upstream, StartUnixMilli: l.StartUnixMilli, Service: l.Service, Address: l.Address, Zone: l.Zone,
				Slots: l.Slots,
			},
		})
	}

	return list
}

func newResponse(id uint64, d gateway.RelayResponse) *response {
	out := &response{ID: id, Body: d.Body}
	for i := range d.Results {
		p := &d.Results[i]
		r := &p.Result
		l := legResult{
			Number: p.Number, OK: r.OK, Sent: r.Sent, Execution: string(r.Run), Reason: string(r.Reason), Stamp: p.Stamp,
			MergeDelay: r.MergeDelay, Warmup: p.Warmup,
		}
		if r.Load != nil {
			l.Load = []int{r.Load.Running, r.Load.Waiting, r.Load.Slots}
		}
		if r.Limit != nil {
			if out.Limits == nil {
				out.Limits = make(map[int]float64)
			}
			out.Limits[p.Number] = float64(*r.Limit)
		}
		if r.Leaving {
			out.Leaving = append(out.Leaving, p.Number)
		}
		if r.Pause > 0 {
			if out.Pauses == nil {
				out.Pauses = make(map[int]clock.Milli)
			}
			out.Pauses[p.Number] = r.Pause
		}
		out.Results = append(out.Results, l)
	}

	return out
}

// loadFields is how many numbers a load has.
const loadFields = 3

func (r *response) relayResponse() gateway.RelayResponse {
	out := gateway.RelayResponse{Body: r.Body}
	for i := range r.Results {
		l := &r.Results[i]
		p := gateway.RelayResult{Number: l.Number, Stamp: l.Stamp, Warmup: l.Warmup, Result: gather.Result{
			OK: l.OK, Sent: l.Sent, Run: reason.Execution(l.Execution), Reason: reason.Code(l.Reason), MergeDelay: l.MergeDelay,
		}}
		if len(l.Load) == loadFields {
			p.Result.Load = &balance.Load{Running: l.Load[0], Waiting: l.Load[1], Slots: l.Load[2]}
		}
		if limit, named := r.Limits[l.Number]; named {
			rate := balance.RateLimit(limit)
			p.Result.Limit = &rate
		}
		p.Result.Leaving, p.Result.Pause = slices.Contains(r.Leaving, l.Number), r.Pauses[l.Number]
		out.Results = append(out.Results, p)
	}

	return out
}

// decoding accepts texts that are not UTF-8, since callers and upstreams may send any bytes in a header.
var decoding = newDecoding()

func newDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}

	return mode
}

func encode(m message) ([]byte, error) {
	data, err := cbor.Marshal(m)

	return data, errors.Wrap(err, "relay: cannot encode message")
}

func decode(data []byte) (message, error) {
	var m message
	if err := decoding.Unmarshal(data, &m); err != nil {
		return m, errors.Wrap(ErrInvalidMessage, err.Error())
	}
	if m.Request == nil && m.Response == nil && m.Cancel == 0 && len(m.Warnings) == 0 {
		return m, errors.Wrap(ErrInvalidMessage, "empty")
	}

	return m, nil
}
