package relay

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"jacinthferry/core/balance"
	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/gather"
	"jacinthferry/core/reason"
	"jacinthferry/io/gateway"
)

// Path is where a daemon accepts links.
const Path = "/relay"

// frameLimit is the size of the largest message in bytes.
const frameLimit = 8 << 20

// ErrSilent is returned when a daemon that was handed legs over says nothing of them in time.
var ErrSilent = errors.New("relay: the other daemon is silent")

// ErrFrame is returned for a message that cannot be decoded.
var ErrFrame = errors.New("relay: not a message of this protocol")

// frame is a message. One of its fields is set.
type frame struct {
	Ask      *ask      `cbor:"ask,omitempty"`
	Cancel   uint64    `cbor:"cancel,omitempty"`
	Delivery *delivery `cbor:"delivery,omitempty"`
}

// ask hands legs of one call over.
type ask struct {
	ID      uint64              `cbor:"id"`
	Request string              `cbor:"request"`
	Method  string              `cbor:"method"`
	Host    string              `cbor:"host"`
	Target  string              `cbor:"target"`
	Header  map[string][]string `cbor:"header,omitempty"`
	Body    []byte              `cbor:"body,omitempty"`
	Wait    clock.Milli         `cbor:"wait"`
	Top     int                 `cbor:"top"`
	Legs    []leg               `cbor:"legs"`
}

// leg is sent as a list, as there are many.
type leg struct {
	_        struct{} `cbor:",toarray"`
	Number   int
	Upstream string
	Born     int64
	Service  string
	Address  string
	Zone     string
	Slots    int
	// Left is how long the upstream may work, so that clocks need not agree.
	Left clock.Milli
}

// delivery returns what came of legs. Body holds the records of all good parts together.
type delivery struct {
	ID    uint64 `cbor:"id"`
	Parts []part `cbor:"parts"`
	Body  []byte `cbor:"body,omitempty"`
}

// part is sent as a list, as there are many.
type part struct {
	_      struct{} `cbor:",toarray"`
	Number int
	Good   bool
	Sent   bool
	Run    string
	Reason string
	Stamp  string
	Held   clock.Milli
	Cold   clock.Milli
	// Load is empty, or the running and waiting requests and the slots of the upstream.
	Load []int
}

func newAsk(id uint64, call *gateway.Call, group *gather.Group, now clock.Milli) *ask {
	a := &ask{
		ID: id, Request: call.ID, Method: call.Method, Host: call.Host, Target: call.Target, Header: call.Header,
		Body: call.Body, Wait: group.Wait, Top: group.Top,
	}
	for i := range group.Legs {
		l := &group.Legs[i]
		u := l.Upstream
		a.Legs = append(a.Legs, leg{
			Number: l.Number, Upstream: u.ID, Born: u.Born, Service: u.Service, Address: u.Address, Zone: u.Zone,
			Slots: u.Slots, Left: max(clock.Millisecond, l.Deadline-now),
		})
	}

	return a
}

// call returns the call whose legs are to be sent.
func (a *ask) call(now clock.Milli) *gateway.Call {
	return &gateway.Call{
		ID: a.Request, Method: a.Method, Host: a.Host, Target: a.Target, Header: a.Header, Body: a.Body, Arrived: now,
	}
}

func (a *ask) relayLegs() []gateway.RelayLeg {
	list := make([]gateway.RelayLeg, 0, len(a.Legs))
	for _, l := range a.Legs {
		list = append(list, gateway.RelayLeg{
			Number: l.Number, Left: l.Left, Upstream: catalog.Upstream{
				ID: l.Upstream, Born: l.Born, Service: l.Service, Address: l.Address, Zone: l.Zone, Slots: l.Slots,
			},
		})
	}

	return list
}

func newDelivery(id uint64, d gateway.Delivery) *delivery {
	out := &delivery{ID: id, Body: d.Body}
	for i := range d.Parts {
		p := &d.Parts[i]
		r := &p.Result
		m := part{
			Number: p.Number, Good: r.Good, Sent: r.Sent, Run: string(r.Run), Reason: string(r.Reason), Stamp: p.Stamp,
			Held: r.Held, Cold: p.Cold,
		}
		if r.Load != nil {
			m.Load = []int{r.Load.Running, r.Load.Waiting, r.Load.Slots}
		}
		out.Parts = append(out.Parts, m)
	}

	return out
}

// loadFields is how many numbers a load has.
const loadFields = 3

func (d *delivery) delivery() gateway.Delivery {
	out := gateway.Delivery{Body: d.Body}
	for i := range d.Parts {
		m := &d.Parts[i]
		p := gateway.Part{Number: m.Number, Stamp: m.Stamp, Cold: m.Cold, Result: gather.Result{
			Good: m.Good, Sent: m.Sent, Run: reason.Run(m.Run), Reason: reason.Word(m.Reason), Held: m.Held,
		}}
		if len(m.Load) == loadFields {
			p.Result.Load = &balance.Load{Running: m.Load[0], Waiting: m.Load[1], Slots: m.Load[2]}
		}
		out.Parts = append(out.Parts, p)
	}

	return out
}

func encode(f frame) ([]byte, error) {
	text, err := cbor.Marshal(f)

	return text, errors.Wrap(err, "relay: cannot encode a message")
}

func decode(text []byte) (frame, error) {
	var f frame
	if err := cbor.Unmarshal(text, &f); err != nil {
		return f, errors.Wrap(ErrFrame, err.Error())
	}
	if f.Ask == nil && f.Delivery == nil && f.Cancel == 0 {
		return f, errors.Wrap(ErrFrame, "empty")
	}

	return f, nil
}
