package relay

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/quarantine"
)

const (
	// maxWarnedPeers is how many daemons are warned directly. In larger deployments the others hear of it through the
	// store.
	maxWarnedPeers = 64
	// warningMemory is how long after a warning it is still sent on connections that open, and maxRecentWarnings how
	// many warnings are remembered for that.
	warningMemory     = 5 * clock.Second
	maxRecentWarnings = 64
)

// sentWarning is a warning and when it was sent.
type sentWarning struct {
	warning
	at clock.Milli
}

// Warn tells the other daemons of a request that crashes upstreams. It does not block: a daemon without a connection
// is told once one opens.
func (c *Client) Warn(w quarantine.Warning) {
	sent := sentWarning{newWarning(w), c.now()}
	c.mu.Lock()
	c.warnings = append(c.recentOf(sent.at), sent)
	c.warnings = c.warnings[max(0, len(c.warnings)-maxRecentWarnings):]
	c.mu.Unlock()
	others := c.others()
	for i := range min(maxWarnedPeers, len(others)) {
		if conn := c.conn(others[(c.peerOffset()+i)%len(others)]); conn != nil {
			conn.warn([]warning{sent.warning})
		}
	}
}

// recentWarnings returns the warnings for a connection that opens now. The lock is held.
func (c *Client) recentWarnings() []warning {
	recent := c.recentOf(c.now())
	list := make([]warning, 0, len(recent))
	for _, w := range recent {
		list = append(list, w.warning)
	}

	return list
}

// recentOf returns the remembered warnings that are not too old. The lock is held.
func (c *Client) recentOf(now clock.Milli) []sentWarning {
	list := c.warnings
	for len(list) > 0 && now-list[0].at > warningMemory {
		list = list[1:]
	}

	return list
}

// warn queues warnings for sending. If the queue is full they are dropped, and the remote daemon hears of them through
// the store.
func (c *clientConn) warn(list []warning) {
	if len(list) == 0 {
		return
	}
	select {
	case c.queue <- message{Warnings: list}:
	default:
	}
}
