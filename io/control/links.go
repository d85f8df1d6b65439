package control

import (
	"k8s.io/klog/v2"

	"jacinthferry/core/member"
	"jacinthferry/core/spread"
	"jacinthferry/io/peer"
)

// Peer takes a message from another daemon's control thread.
func (c *Control) Peer(from string, m peer.Control) { c.post(peerMessage{from, m}) }

type peerMessage struct {
	from    string
	message peer.Control
}

func (e peerMessage) apply(c *Control) {
	now := c.opts.Now()
	if m := e.message.Member; m != nil {
		c.sendMemberMessages(c.view.Receive(now, e.from, *m))
		c.sendConfigMessages(c.spread.Noticed(now, e.from, m.Revision))
	}
	if m := e.message.Spread; m != nil {
		e.handleSpread(c, *m)
	}
	if e.message.Ask != 0 {
		c.opts.Send(member.Member{Name: e.from}, peer.Control{Status: c.ownStatus(e.message.Ask)})
	}
	if s := e.message.Status; s != nil {
		c.deliverReply(*s)
	}
}

func (e peerMessage) handleSpread(c *Control, m spread.Message) {
	now := c.opts.Now()
	switch m.Kind {
	case spread.Notice:
		c.sendConfigMessages(c.spread.Noticed(now, e.from, m.Revision))
	case spread.Want:
		messages, err := c.spread.Wanted(e.from, m.Revision)
		if err != nil {
			klog.ErrorS(err, "cannot tell a peer the configuration", "peer", e.from)
		}
		c.sendConfigMessages(messages)
	case spread.Change:
		old := c.spread.Current()
		messages, changed, err := c.spread.Changed(now, e.from, m.Change, c.neighbourNames())
		if err != nil {
			klog.ErrorS(err, "configuration from a peer cannot be used", "peer", e.from)
		}
		if changed {
			c.activate(old)
		}
		c.sendConfigMessages(messages)
	}
}

// Opened says that a link to a daemon was opened.
func (c *Control) Opened(name string) { c.post(linkOpened{name}) }

type linkOpened struct{ name string }

func (e linkOpened) apply(c *Control) {
	if _, lost := c.lostLinks[e.name]; lost {
		delete(c.lostLinks, e.name)
		c.dirty = true
	}
	c.sendMemberMessages(c.view.Greet(c.opts.Now(), member.Member{Name: e.name}))
	if c.table == nil {
		return
	}
	for upstream, o := range c.observations {
		if c.table.Home(upstream) == c.opts.Self.Name {
			c.opts.Tell(e.name, o.holding, o.gone)
		}
	}
}

// Broken says that the link to a daemon is gone or could not be opened.
func (c *Control) Broken(name string) { c.post(linkFailed{name}) }

type linkFailed struct{ name string }

func (e linkFailed) apply(c *Control) { c.sendMemberMessages(c.view.Broken(c.opts.Now(), e.name)) }

// Unlinked says that there is no link on which legs could go to a daemon.
func (c *Control) Unlinked(name string) { c.post(linkLost{name}) }

type linkLost struct{ name string }

func (e linkLost) apply(c *Control) {
	c.lostLinks[e.name] = c.opts.Now()
	c.dirty = true
	c.sendMemberMessages(c.view.Broken(c.opts.Now(), e.name))
}

// Leave begins a planned stop: this daemon leaves the entry lists, gives up its seat and is home to
// nothing any more. It goes on serving.
func (c *Control) Leave() { c.post(leaveRequest{}) }

type leaveRequest struct{}

func (leaveRequest) apply(c *Control) {
	c.leaving.Store(true)
	c.sendMemberMessages(c.view.Leave(c.opts.Now()))
}

func (c *Control) isLeaving() bool { return c.leaving.Load() }
