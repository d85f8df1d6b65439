package control

import (
	"k8s.io/klog/v2"

	"jacinthferry/core/member"
	"jacinthferry/core/spread"
	"jacinthferry/io/peer"
)

// HandleMessage handles a message from another daemon's control thread.
func (c *Control) HandleMessage(from string, m peer.ControlMessage) { c.post(peerMessage{from, m}) }

type peerMessage struct {
	from    string
	message peer.ControlMessage
}

func (e peerMessage) apply(c *Control) {
	now := c.opts.Now()
	if m := e.message.Member; m != nil {
		c.sendMemberMessages(c.view.Receive(now, e.from, *m))
		c.sendConfigMessages(c.spread.HandleAnnouncement(now, e.from, m.Revision))
	}
	if m := e.message.Spread; m != nil {
		e.handleSpread(c, *m)
	}
	if e.message.StatusRequest != 0 {
		c.opts.SendMessage(member.Member{Name: e.from}, peer.ControlMessage{Status: c.ownStatus(e.message.StatusRequest)})
	}
	if s := e.message.Status; s != nil {
		c.deliverReply(*s)
	}
}

func (e peerMessage) handleSpread(c *Control, m spread.Message) {
	now := c.opts.Now()
	switch m.Kind {
	case spread.Announcement:
		c.sendConfigMessages(c.spread.HandleAnnouncement(now, e.from, m.Revision))
	case spread.Request:
		messages, err := c.spread.HandleRequest(e.from, m.Revision)
		if err != nil {
			klog.ErrorS(err, "cannot send the requested configuration change to a peer", "peer", e.from)
		}
		c.sendConfigMessages(messages)
	case spread.Change:
		old := c.spread.Current()
		messages, changed, err := c.spread.HandleChange(now, e.from, m.Change, c.neighbourNames())
		if err != nil {
			klog.ErrorS(err, "cannot apply the configuration change from a peer", "peer", e.from)
		}
		if changed {
			c.activate(old)
		}
		c.sendConfigMessages(messages)
	}
}

// HandleLinkOpened reports that a link to a daemon was opened.
func (c *Control) HandleLinkOpened(name string) { c.post(linkOpened{name}) }

type linkOpened struct{ name string }

func (e linkOpened) apply(c *Control) {
	if _, lost := c.lostLinks[e.name]; lost {
		delete(c.lostLinks, e.name)
		c.dirty = true
	}
	c.sendMemberMessages(c.view.HandleLinkOpened(c.opts.Now(), member.Member{Name: e.name}))
	if c.table == nil {
		return
	}
	for upstream, o := range c.observations {
		if c.table.Home(upstream) == c.opts.Self.Name {
			c.opts.SendHolding(e.name, o.holding, o.gone)
		}
	}
}

// HandleLinkFailure reports that the link to a daemon was closed or could not be opened.
func (c *Control) HandleLinkFailure(name string) { c.post(linkFailed{name}) }

type linkFailed struct{ name string }

func (e linkFailed) apply(c *Control) {
	c.sendMemberMessages(c.view.HandleLinkFailure(c.opts.Now(), e.name))
}

// HandleLinkLost reports that there is no link over which legs could be sent to a daemon.
func (c *Control) HandleLinkLost(name string) { c.post(linkLost{name}) }

type linkLost struct{ name string }

func (e linkLost) apply(c *Control) {
	c.lostLinks[e.name] = c.opts.Now()
	c.dirty = true
	c.sendMemberMessages(c.view.HandleLinkFailure(c.opts.Now(), e.name))
}

// Leave begins a planned stop: this daemon is removed from the entry lists, gives up its seat and is
// no longer the home of any upstream. It continues to serve.
func (c *Control) Leave() { c.post(leaveRequest{}) }

type leaveRequest struct{}

func (leaveRequest) apply(c *Control) {
	c.leaving.Store(true)
	c.sendMemberMessages(c.view.Leave(c.opts.Now()))
}

func (c *Control) isLeaving() bool { return c.leaving.Load() }
