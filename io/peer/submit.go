package peer

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/submit"
)

// submission is a non-idempotent request on its way to the daemon that owns its ledger page.
type submission struct {
	ID       uint64      `cbor:"id"`
	Request  string      `cbor:"request"`
	Service  string      `cbor:"service"`
	Body     string      `cbor:"body,omitempty"`
	Timeout  clock.Milli `cbor:"left"`
	Priority string      `cbor:"priority"`
	Resend   bool        `cbor:"resend,omitempty"`
}

func (m submission) request(now clock.Milli) submit.Request {
	return submit.Request{
		ID: m.Request, Service: m.Service, Body: m.Body, Deadline: now + m.Timeout,
		Priority: leg.Priority(m.Priority), Resend: m.Resend,
	}
}

// Submit sends a request to the remote daemon, which returns the result with Outcome.
func (l *Link) Submit(id uint64, r submit.Request) {
	m := submission{
		ID: id, Request: r.ID, Service: r.Service, Body: r.Body, Timeout: r.Deadline - l.handlers.Now(),
		Priority: string(r.Priority), Resend: r.Resend,
	}
	l.enqueue(func(msg *message) { msg.Submits = append(msg.Submits, m) })
}

// Outcome returns the result of a request that the remote daemon submitted.
func (l *Link) Outcome(id uint64, r leg.Result) {
	m := toLegResult(id, r)
	l.enqueue(func(msg *message) { msg.Outcomes = append(msg.Outcomes, m) })
}
