package gateway

import (
	"context"
	"net"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/quarantine"
	"jacinthferry/core/reason"
)

const (
	// crashLimit is how many crashes of one service's upstreams, one after the other, put a request into
	// quarantine.
	crashLimit = 2
	// crashWindow is for how long a crash counts, and quarantineSpan how long a quarantine lasts.
	crashWindow    = clock.Minute
	quarantineSpan = clock.Minute
	// quarantineLimit is how many requests are in quarantine at once at most.
	quarantineLimit = 64
	// checkEvery is the time between two checks whether an upstream that broke a connection is there.
	checkEvery = 200 * clock.Millisecond
)

// visit is a request at an upstream, from when it was sent until the connection broke.
type visit struct{ sent, broken clock.Milli }

// overlaps reports whether both ran at the same time.
func (v visit) overlaps(other visit) bool { return v.sent < other.broken && other.sent < v.broken }

// crashes ties crashes of upstreams to the requests that ran there. It is for a request that crashes
// each upstream that runs it and whose caller sends it again. The gateway's lock guards it.
type crashes struct {
	list *quarantine.List
	// last is the visit that ended with the last crash tied to a request.
	last map[quarantine.Print]visit
	// checked is when an upstream was looked for last.
	checked map[catalog.Key]clock.Milli
}

func newCrashes() *crashes {
	return &crashes{
		list: quarantine.New(quarantine.Terms{
			Crashes: crashLimit, Window: crashWindow, Hold: quarantineSpan, Limit: quarantineLimit,
		}),
		last: make(map[quarantine.Print]visit), checked: make(map[catalog.Key]clock.Milli),
	}
}

// keep forgets what does not count any more.
func (c *crashes) keep(now clock.Milli) {
	for p, v := range c.last {
		if now-v.broken > crashWindow {
			delete(c.last, p)
		}
	}
	for k, at := range c.checked {
		if now-at > checkEvery {
			delete(c.checked, k)
		}
	}
}

// due reports whether an upstream is to be looked for now.
func (c *crashes) due(now clock.Milli, k catalog.Key) bool {
	if at, known := c.checked[k]; known && now-at < checkEvery {
		return false
	}
	c.checked[k] = now

	return true
}

// tie ties a crash of an upstream to a request that was sent there, and reports whether that puts the
// request into quarantine. Upstreams that crash together count once: the request may have run on all of
// them without being the cause.
func (c *crashes) tie(now clock.Milli, v visit, p quarantine.Print, k catalog.Key) bool {
	if last, known := c.last[p]; known && v.overlaps(last) {
		return false
	}
	c.last[p] = v
	before := c.list.Held(now, p)
	c.list.Lost(now, p, xxhash.Sum64String(k.ID+" "+strconv.FormatInt(k.Born, 10)))

	return !before && c.list.Held(now, p)
}

// printOf returns the fingerprint of a call to a service, the same each time a caller sends it.
func printOf(call *Call, service string) quarantine.Print {
	return quarantine.Of(service, call.Method+" "+call.Host+call.Target+"\n"+string(call.Body))
}

// quarantined returns the service of a route that the call is not sent to because it crashes upstreams,
// or nothing.
func (g *Gateway) quarantined(call *Call, route *catalog.Route) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.crashes.list.Empty() {
		return ""
	}
	now := g.ports.Now()
	for _, service := range route.Services() {
		if g.crashes.list.Held(now, printOf(call, service)) {
			return service
		}
	}

	return ""
}

// passed clears a call of an earlier crash, as an upstream answered it.
func (g *Gateway) passed(call *Call, service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.crashes.list.Empty() {
		g.crashes.list.Passed(printOf(call, service), "")
	}
}

// Quarantine refuses a request for a while that another daemon found to crash upstreams.
func (g *Gateway) Quarantine(p quarantine.Print) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes.list.Learn(g.ports.Now(), quarantine.Entry{Print: p, Crashes: []uint64{1, 2}, Left: quarantineSpan})
}

// examine looks whether an upstream is still there that broke a connection while it ran a call. If not, the
// crash is tied to the call; else the connection is kept for the next request.
func (g *Gateway) examine(call *Call, u *catalog.Upstream, v visit) {
	g.mu.Lock()
	due := g.crashes.due(g.ports.Now(), u.Key())
	g.mu.Unlock()
	if !due {
		return
	}
	c, err := g.pool.dial(context.Background(), g.ports.Now(), u)
	if err == nil {
		g.pool.put(u.Key(), c)

		return
	}
	if isTimeout(err) {
		return
	}
	p := printOf(call, u.Service)
	g.mu.Lock()
	held := g.crashes.tie(g.ports.Now(), v, p, u.Key())
	g.mu.Unlock()
	g.ports.Record(event.Event{
		Kind: event.Upstream, Reason: reason.Connection, Service: u.Service, Upstream: u.ID, Request: call.ID,
		Detail: "gone while it ran the request",
	})
	if !held {
		return
	}
	g.ports.Record(event.Event{
		Kind: event.Quarantine, Reason: reason.Quarantine, Service: u.Service, Upstream: u.ID, Request: call.ID,
		Detail: "the second upstream that is gone after it ran the request",
	})
	if g.ports.Quarantined != nil {
		g.ports.Quarantined(p)
	}
}

// isTimeout reports whether an error is a timeout, which does not tell that the other side has ended.
func isTimeout(err error) bool {
	var timeout net.Error

	return errors.As(err, &timeout) && timeout.Timeout()
}
