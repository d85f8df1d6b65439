package member

import "jacinthferry/core/clock"

// Receive handles a message from another daemon and returns the messages to send.
func (v *View) Receive(now clock.Milli, from string, m Message) []Envelope {
	var news []Update
	for _, u := range m.Updates {
		if v.merge(now, u) {
			news = append(news, v.entries[u.Member.Name].Update)
		}
	}
	v.disseminate(news, from)
	sender := v.entries[from]
	if sender == nil {
		v.introduce(now, from)

		return v.takeOutgoing()
	}
	v.lastReceived = now
	sender.Revision = max(sender.Revision, m.Revision)
	if m.Incarnation > sender.Incarnation && v.merge(now, Update{sender.Member, Alive, m.Incarnation}) {
		v.disseminate([]Update{sender.Update}, from)
	}
	switch m.Kind {
	case Ping:
		v.acknowledge(sender, m)
	case Ack:
		v.handleAck(m)
		v.compareDigest(now, sender, m)
	case PingRequest:
		if e := v.entries[m.Target]; e != nil {
			v.ping(now, e, from, m.Seq)
		}
	case Pull:
		v.sendAll(sender.Member)
	case Gossip:
	}

	return v.takeOutgoing()
}

// introduce sends this daemon's own state to a daemon that it does not know, and pulls the other's view.
func (v *View) introduce(now clock.Milli, from string) {
	if now-v.lastPull < pullInterval || from == v.self.Member.Name {
		return
	}
	v.lastPull = now
	v.send(Member{Name: from}, Message{Kind: Gossip, Updates: []Update{v.self}})
	v.send(Member{Name: from}, Message{Kind: Pull})
}

// acknowledge answers a Ping. It tells a sender that is believed suspect or dead, so that it can refute this.
func (v *View) acknowledge(sender *Entry, m Message) {
	reply := Message{Kind: Ack, Seq: m.Seq}
	if sender.State == Suspect || sender.State == Dead {
		reply.Updates = []Update{sender.Update}
	}
	v.send(sender.Member, reply)
}

func (v *View) handleAck(m Message) {
	p := v.probes[m.Seq]
	if p == nil {
		return
	}
	delete(v.probes, m.Seq)
	if p.requester == "" {
		return
	}
	if e := v.entries[p.requester]; e != nil {
		v.send(e.Member, Message{Kind: Ack, Seq: p.seq})
	}
}

// compareDigest exchanges views with the sender when its digest differs from this daemon's.
func (v *View) compareDigest(now clock.Milli, sender *Entry, m Message) {
	if m.Digest == v.digest^hash(v.self) || now-v.lastPull < pullInterval {
		return
	}
	v.lastPull = now
	v.send(sender.Member, Message{Kind: Pull})
	v.sendAll(sender.Member)
}

// sendAll sends the whole view to one daemon.
func (v *View) sendAll(to Member) {
	list := []Update{v.self}
	for _, e := range v.Others() {
		list = append(list, e.Update)
	}
	for len(list) > 0 {
		n := min(len(list), maxUpdates)
		v.send(to, Message{Kind: Gossip, Updates: list[:n:n]})
		list = list[n:]
	}
}

// HandleLinkOpened starts the exchange with a daemon to which a link was opened: it sends this daemon's state and pulls
// the other's view.
func (v *View) HandleLinkOpened(_ clock.Milli, to Member) []Envelope {
	v.send(to, Message{Kind: Gossip, Updates: []Update{v.self}})
	v.send(to, Message{Kind: Pull})

	return v.takeOutgoing()
}

// HandleSeatAdded handles a daemon's seat that is in the store.
func (v *View) HandleSeatAdded(now clock.Milli, m Member, incarnation uint64) []Envelope {
	if m.Name != v.self.Member.Name {
		if v.merge(now, Update{m, Alive, incarnation}) {
			v.disseminate([]Update{v.entries[m.Name].Update}, "")
		}
		if e := v.entries[m.Name]; e != nil {
			e.seat = true
		}
	}

	return v.takeOutgoing()
}

// HandleSeatRemoved handles the removal of a daemon's seat from the store. That alone does not make the daemon dead:
// its lease may have lapsed because the store was unavailable. The daemon is probed at once instead.
func (v *View) HandleSeatRemoved(now clock.Milli, name string) []Envelope {
	if e := v.entries[name]; e != nil {
		e.seat = false
	}

	return v.HandleLinkFailure(now, name)
}

// HandleInstanceList handles the platform's list of instances, which maps names to whether the instance is leaving.
// The list lags, so a missing name is not taken as the end of a daemon; leaving is final for an incarnation.
func (v *View) HandleInstanceList(now clock.Milli, leaving map[string]bool) []Envelope {
	for name, gone := range leaving {
		if !gone {
			continue
		}
		if name == v.self.Member.Name {
			v.leave(now)
		} else if e := v.entries[name]; e != nil && e.State < Leaving {
			if v.merge(now, Update{e.Member, Leaving, e.Incarnation}) {
				v.disseminate([]Update{e.Update}, "")
			}
		}
	}

	return v.takeOutgoing()
}

// Leave handles the start of a planned stop of this daemon.
func (v *View) Leave(now clock.Milli) []Envelope {
	v.leave(now)

	return v.takeOutgoing()
}

func (v *View) leave(now clock.Milli) {
	if v.self.State == Leaving {
		return
	}
	v.self.State, v.since = Leaving, now
	v.changed = true
	v.disseminate([]Update{v.self}, "")
}

// RenewIncarnation gives this daemon a new incarnation after a pause in which others may have considered it dead.
func (v *View) RenewIncarnation(now clock.Milli) []Envelope {
	v.self.Incarnation++
	v.since = now
	v.lastReceived = now - v.policy.SuspicionTimeout - 2*v.policy.ProbeTimeout - v.policy.ProbeInterval
	v.changed = true
	v.disseminate([]Update{v.self}, "")

	return v.takeOutgoing()
}
