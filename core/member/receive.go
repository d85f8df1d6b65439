package member

import "jacinthferry/core/clock"

// Receive takes a message from another daemon.
func (v *View) Receive(now clock.Milli, from string, m Message) []Send {
	var news []Update
	for _, u := range m.Updates {
		if v.merge(now, u) {
			news = append(news, v.entries[u.Member.Name].Update)
		}
	}
	v.tell(news, from)
	sender := v.entries[from]
	if sender == nil {
		v.stranger(now, from)

		return v.take()
	}
	v.heard = now
	sender.Revision = max(sender.Revision, m.Revision)
	if m.Incarnation > sender.Incarnation && v.merge(now, Update{sender.Member, Alive, m.Incarnation}) {
		v.tell([]Update{sender.Update}, from)
	}
	switch m.Kind {
	case Ping:
		v.acknowledge(sender, m)
	case Ack:
		v.answered(m)
		v.compare(now, sender, m)
	case Ask:
		if e := v.entries[m.Target]; e != nil {
			v.ping(now, e, from, m.Seq)
		}
	case Pull:
		v.everything(sender.Member)
	case News:
	}

	return v.take()
}

// stranger introduces this daemon to one that it does not know and asks it for what it knows.
func (v *View) stranger(now clock.Milli, from string) {
	if now-v.pulled < pullWait || from == v.self.Member.Name {
		return
	}
	v.pulled = now
	v.send(Member{Name: from}, Message{Kind: News, Updates: []Update{v.self}})
	v.send(Member{Name: from}, Message{Kind: Pull})
}

// acknowledge answers a Ping. A sender that is held suspect or dead learns of it and can refute it.
func (v *View) acknowledge(sender *Entry, m Message) {
	reply := Message{Kind: Ack, Seq: m.Seq}
	if sender.State == Suspect || sender.State == Dead {
		reply.Updates = []Update{sender.Update}
	}
	v.send(sender.Member, reply)
}

func (v *View) answered(m Message) {
	p := v.probes[m.Seq]
	if p == nil {
		return
	}
	delete(v.probes, m.Seq)
	if p.origin == "" {
		return
	}
	if e := v.entries[p.origin]; e != nil {
		v.send(e.Member, Message{Kind: Ack, Seq: p.seq})
	}
}

// compare pulls the other's view when its digest differs from this one.
func (v *View) compare(now clock.Milli, sender *Entry, m Message) {
	if m.Digest == v.digest^hash(v.self) || now-v.pulled < pullWait {
		return
	}
	v.pulled = now
	v.send(sender.Member, Message{Kind: Pull})
	v.everything(sender.Member)
}

// everything sends the whole view to one daemon.
func (v *View) everything(to Member) {
	list := []Update{v.self}
	for _, e := range v.Others() {
		list = append(list, e.Update)
	}
	for len(list) > 0 {
		n := min(len(list), newsSize)
		v.send(to, Message{Kind: News, Updates: list[:n:n]})
		list = list[n:]
	}
}

// Greet begins the exchange with a daemon to which a link was opened.
func (v *View) Greet(_ clock.Milli, to Member) []Send {
	v.send(to, Message{Kind: News, Updates: []Update{v.self}})
	v.send(to, Message{Kind: Pull})

	return v.take()
}

// Seat says that a daemon's seat is in the store.
func (v *View) Seat(now clock.Milli, m Member, incarnation uint64) []Send {
	if m.Name != v.self.Member.Name {
		if v.merge(now, Update{m, Alive, incarnation}) {
			v.tell([]Update{v.entries[m.Name].Update}, "")
		}
		if e := v.entries[m.Name]; e != nil {
			e.seat = true
		}
	}

	return v.take()
}

// Vacate says that a daemon's seat is gone from the store. That alone ends nothing: its lease may
// have lapsed because the store was away. It is probed at once instead.
func (v *View) Vacate(now clock.Milli, name string) []Send {
	if e := v.entries[name]; e != nil {
		e.seat = false
	}

	return v.Broken(now, name)
}

// Listed takes the platform's list of instances, as names with whether each is leaving. The list
// lags, so a missing name is only probed; leaving is final for an incarnation.
func (v *View) Listed(now clock.Milli, leaving map[string]bool) []Send {
	for name, gone := range leaving {
		if !gone {
			continue
		}
		if name == v.self.Member.Name {
			v.leave(now)
		} else if e := v.entries[name]; e != nil && e.State < Leaving {
			if v.merge(now, Update{e.Member, Leaving, e.Incarnation}) {
				v.tell([]Update{e.Update}, "")
			}
		}
	}

	return v.take()
}

// Leave says that this daemon begins a planned stop.
func (v *View) Leave(now clock.Milli) []Send {
	v.leave(now)

	return v.take()
}

func (v *View) leave(now clock.Milli) {
	if v.self.State == Leaving {
		return
	}
	v.self.State, v.since = Leaving, now
	v.changed = true
	v.tell([]Update{v.self}, "")
}

// Renew gives this daemon a new incarnation, after a pause in which others may have taken it for
// dead.
func (v *View) Renew(now clock.Milli) []Send {
	v.self.Incarnation++
	v.since = now
	v.heard = now - v.policy.Suspicion - 2*v.policy.Timeout - v.policy.Period
	v.changed = true
	v.tell([]Update{v.self}, "")

	return v.take()
}
