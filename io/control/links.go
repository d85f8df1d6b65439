package control

import (
	"k8s.io/klog/v2"

	"jacinthferry/core/member"
	"jacinthferry/core/spread"
	"jacinthferry/io/peer"
)

// Peer takes a message from another daemon's control thread.
func (c *Control) Peer(from string, m peer.Control) { c.post(peered{from, m}) }

type peered struct {
	from    string
	message peer.Control
}

func (e peered) apply(c *Control) {
	now := c.ports.Now()
	if m := e.message.Member; m != nil {
		c.send(c.view.Receive(now, e.from, *m))
		c.pass(c.spread.HandleAnnouncement(now, e.from, m.Revision))
	}
	if m := e.message.Spread; m != nil {
		e.spread(c, *m)
	}
	if e.message.Ask != 0 {
		c.ports.Send(member.Member{Name: e.from}, peer.Control{Status: c.status(e.message.Ask)})
	}
	if s := e.message.Status; s != nil {
		c.replied(*s)
	}
}

func (e peered) spread(c *Control, m spread.Message) {
	now := c.ports.Now()
	switch m.Kind {
	case spread.Announcement:
		c.pass(c.spread.HandleAnnouncement(now, e.from, m.Revision))
	case spread.Request:
		sends, err := c.spread.HandleRequest(e.from, m.Revision)
		if err != nil {
			klog.ErrorS(err, "cannot tell a peer the configuration", "peer", e.from)
		}
		c.pass(sends)
	case spread.Change:
		old := c.spread.Current()
		sends, news, err := c.spread.HandleChange(now, e.from, m.Change, c.nearNames())
		if err != nil {
			klog.ErrorS(err, "configuration from a peer cannot be used", "peer", e.from)
		}
		if news {
			c.inForce(old)
		}
		c.pass(sends)
	}
}

// Opened says that a link to a daemon was opened.
func (c *Control) Opened(name string) { c.post(opened{name}) }

type opened struct{ name string }

func (e opened) apply(c *Control) {
	if _, was := c.away[e.name]; was {
		delete(c.away, e.name)
		c.dirty = true
	}
	c.send(c.view.HandleLinkOpened(c.ports.Now(), member.Member{Name: e.name}))
	if c.table == nil {
		return
	}
	for upstream, k := range c.known {
		if c.table.Home(upstream) == c.ports.Self.Name {
			c.ports.Tell(e.name, k.holding, k.gone)
		}
	}
}

// Broken says that the link to a daemon is gone or could not be opened.
func (c *Control) Broken(name string) { c.post(broken{name}) }

type broken struct{ name string }

func (e broken) apply(c *Control) { c.send(c.view.HandleLinkFailure(c.ports.Now(), e.name)) }

// Unlinked says that there is no link on which legs could go to a daemon.
func (c *Control) Unlinked(name string) { c.post(unlinked{name}) }

type unlinked struct{ name string }

func (e unlinked) apply(c *Control) {
	c.away[e.name] = c.ports.Now()
	c.dirty = true
	c.send(c.view.HandleLinkFailure(c.ports.Now(), e.name))
}

// Leave begins a planned stop: this daemon leaves the entry lists, gives up its seat and is home to
// nothing any more. It goes on serving.
func (c *Control) Leave() { c.post(leave{}) }

type leave struct{}

func (leave) apply(c *Control) {
	c.left.Store(true)
	c.send(c.view.Leave(c.ports.Now()))
}

func (c *Control) stopping() bool { return c.left.Load() }
