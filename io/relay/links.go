package relay

import (
	"context"
	"hash/fnv"
	"maps"
	"net/http"
	"sync"

	"github.com/coder/websocket"
	"k8s.io/klog/v2"

	"jacinthferry/core/clock"
	"jacinthferry/core/gather"
	"jacinthferry/io/gateway"
)

const (
	// dialTimeout bounds the opening of a link, and dialPause is the time between the starts of two tries.
	// It is longer, so that one address has one link at most.
	dialTimeout = clock.Second
	dialPause   = 1500 * clock.Millisecond
	// tryMemory is how long after a try an address is remembered.
	tryMemory = clock.Minute
	// triesPerGroup is how many daemons of a zone are tried for a group.
	triesPerGroup = 2
)

// Links keeps the links to daemons that send legs for this one. It is safe for concurrent use.
type Links struct {
	now  func() clock.Milli
	http *http.Client
	// self is this daemon's name, and peers returns the addresses of the other daemons of a zone that
	// send legs, in the same order each time.
	self  string
	peers func(zone string) []string

	mu    sync.Mutex
	links map[string]*link
	// tried is when the last try to reach an address began.
	tried map[string]clock.Milli
	ctx   context.Context //nolint:containedctx // Links are opened later, and end with it.
}

// NewLinks returns no links yet. They end with ctx.
func NewLinks(
	ctx context.Context, now func() clock.Milli, http *http.Client, self string, peers func(zone string) []string,
) *Links {
	return &Links{
		ctx: ctx, now: now, http: http, self: self, peers: peers, links: make(map[string]*link),
		tried: make(map[string]clock.Milli),
	}
}

// Send hands a group to a daemon of its zone. It reports false when none can take it now.
func (k *Links) Send(call *gateway.Call, group *gather.Group, deliver func(gateway.Delivery)) (func(), bool) {
	peers := k.peers(group.Zone)
	for i := range min(triesPerGroup, len(peers)) {
		l := k.link(peers[(k.offset()+i)%len(peers)])
		if l == nil {
			continue
		}
		if cancel, ok := l.send(call, group, deliver); ok {
			return cancel, true
		}
	}

	return nil, false
}

// offset spreads the daemons of a zone over those that send to them.
func (k *Links) offset() int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(k.self))

	return int(h.Sum32() >> 1)
}

// link returns the open link to an address, or nil while there is none. One is opened then.
func (k *Links) link(address string) *link {
	k.mu.Lock()
	defer k.mu.Unlock()
	if l := k.links[address]; l != nil {
		return l
	}
	now := k.now()
	if at, known := k.tried[address]; !known || now >= at+dialPause {
		maps.DeleteFunc(k.tried, func(_ string, at clock.Milli) bool { return now >= at+tryMemory })
		k.tried[address] = now
		go k.open(address)
	}

	return nil
}

// open opens a link and serves it until it closes.
func (k *Links) open(address string) {
	ctx, cancel := context.WithTimeout(k.ctx, dialTimeout.Duration())
	defer cancel()
	socket, response, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{HTTPClient: k.http})
	if err != nil {
		klog.InfoS("relay not reached", "address", address, "err", err)

		return
	}
	if response.Body != nil {
		_ = response.Body.Close()
	}
	l := newLink(k.now, socket)
	k.mu.Lock()
	k.links[address] = l
	k.mu.Unlock()
	klog.InfoS("relay opened", "address", address)
	err = l.run(k.ctx)
	k.mu.Lock()
	delete(k.links, address)
	k.mu.Unlock()
	klog.InfoS("relay closed", "address", address, "err", err)
}
