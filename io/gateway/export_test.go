package gateway

import (
	"net"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/gather"
)

// Sender sends one leg of a call.
type Sender struct{ inner *sender }

// NewSender returns a Sender for one leg of a call.
func (g *Gateway) NewSender(call *Call) Sender {
	s := newSender(g, call, 0)
	s.conns = make([]*conn, 1)

	return Sender{s}
}

// Exchange sends the leg and returns its result.
func (s Sender) Exchange(u *catalog.Upstream, deadline clock.Milli) gather.Result {
	_, result := s.inner.exchange(0, u, deadline)

	return result
}

// Cancel aborts the leg.
func (s Sender) Cancel() { s.inner.cancelAll() }

// TakeIdle removes an idle connection to an upstream from the pool for another request and returns it, or returns nil.
func (g *Gateway) TakeIdle(u *catalog.Upstream) net.Conn {
	if c := g.pool.take(g.options.Now(), u.Key(), "another"); c != nil {
		return c
	}

	return nil
}

// HeldMemory returns how many bytes of the memory for responses are held.
func (g *Gateway) HeldMemory() int { return g.memory.Held() }
