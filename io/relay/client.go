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
	// dialTimeout bounds the opening of a connection, and dialInterval is the time between the starts of two
	// attempts. The interval is longer, so that an address has one connection at most.
	dialTimeout  = clock.Second
	dialInterval = 1500 * clock.Millisecond
	// dialMemory is how long after an attempt its start is remembered.
	dialMemory = clock.Minute
	// maxPeersPerGroup is how many daemons of a zone are tried for a group.
	maxPeersPerGroup = 2
)

// Client holds the connections to daemons that send legs for this one. It is safe for concurrent use.
type Client struct {
	now        func() clock.Milli
	httpClient *http.Client
	self       string
	peers      func(zone string) []string
	others     func() []string

	mu    sync.Mutex
	conns map[string]*clientConn
	// lastDial maps an address to the start of the last attempt to connect.
	lastDial map[string]clock.Milli
	// warnings are the latest ones, oldest first, for connections that open soon.
	warnings []sentWarning
	ctx      context.Context //nolint:containedctx // Links are opened later, and end with it.
}

// NewClient returns a relay client without open connections. They are opened on demand and close when ctx ends. The
// function peers returns the addresses of the other daemons of a zone that send legs, in the same order
// each time, and others those of the daemons of all zones; self is the name of this daemon.
func NewClient(
	ctx context.Context, now func() clock.Milli, httpClient *http.Client, self string,
	peers func(zone string) []string, others func() []string,
) *Client {
	return &Client{
		ctx: ctx, now: now, httpClient: httpClient, self: self, peers: peers, others: others,
		conns: make(map[string]*clientConn), lastDial: make(map[string]clock.Milli),
	}
}

// Send hands a group over to a daemon of its zone and returns a function that cancels the group. It reports
// false when no daemon can take the group now, and does not block. The function deliver is called with each
// response; every leg gets one result, also when the connection fails.
func (c *Client) Send(call *gateway.Call, group *gather.ZoneGroup, deliver func(gateway.RelayResponse)) (func(), bool) {
	peers := c.peers(group.Zone)
	for i := range min(maxPeersPerGroup, len(peers)) {
		conn := c.conn(peers[(c.peerOffset()+i)%len(peers)])
		if conn == nil {
			continue
		}
		if cancel, ok := conn.send(call, group, deliver); ok {
			return cancel, true
		}
	}

	return nil, false
}

// peerOffset returns a hash of this daemon's name, which spreads the sending daemons over the daemons of a
// zone.
func (c *Client) peerOffset() int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(c.self))

	return int(h.Sum32() >> 1)
}

// conn returns the open connection to an address. If there is none it returns nil and starts to open one.
func (c *Client) conn(address string) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[address]; conn != nil {
		return conn
	}
	now := c.now()
	if at, known := c.lastDial[address]; !known || now >= at+dialInterval {
		maps.DeleteFunc(c.lastDial, func(_ string, at clock.Milli) bool { return now >= at+dialMemory })
		c.lastDial[address] = now
		go c.dialAndRun(address)
	}

	return nil
}

// dialAndRun opens a connection and runs it until it closes.
func (c *Client) dialAndRun(address string) {
	ctx, cancel := context.WithTimeout(c.ctx, dialTimeout.Duration())
	defer cancel()
	socket, resp, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{HTTPClient: c.httpClient})
	if err != nil {
		klog.InfoS("cannot open relay connection", "address", address, "err", err)

		return
	}
	if resp.Body != nil {
		_ = resp.Body.Close()
	}
	conn := newClientConn(c.now, socket)
	c.mu.Lock()
	c.conns[address] = conn
	conn.warn(c.recentWarnings())
	c.mu.Unlock()
	klog.InfoS("relay connection opened", "address", address)
	err = conn.run(c.ctx)
	c.mu.Lock()
	delete(c.conns, address)
	c.mu.Unlock()
	klog.InfoS("relay connection closed", "address", address, "err", err)
}
