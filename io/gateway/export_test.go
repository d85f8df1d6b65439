package gateway

import (
	"net"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/gather"
)

// Sender is the sender of one leg of a call.
type Sender struct{ inner *sender }

// NewSender returns a sender of one leg.
func (g *Gateway) NewSender(call *Call) Sender {
	return Sender{&sender{gateway: g, call: call, conns: make([]*conn, 1)}}
}

// Exchange sends the leg and returns how it ended.
func (s Sender) Exchange(u *catalog.Upstream, deadline clock.Milli) gather.Result {
	_, result := s.inner.exchange(0, u, deadline)

	return result
}

// Cancel breaks the leg off.
func (s Sender) Cancel() { s.inner.cancelAll() }

// Idle takes an idle connection to an upstream out of the pool, or returns nil.
func (g *Gateway) Idle(u *catalog.Upstream) net.Conn {
	if c := g.pool.take(g.ports.Now(), u.Key()); c != nil {
		return c
	}

	return nil
}
