package member

import "jacinthferry/core/clock"

// Tick advances probes and suspicions and returns the messages to send. Call it several times a period.
func (v *View) Tick(now clock.Milli) []Envelope {
	if late := now - v.lastTick; late > v.policy.ProbeTimeout {
		v.recoverFromPause(now)
	}
	v.lastTick = now
	v.expireProbes(now)
	for _, name := range v.expiredSuspects(now) {
		v.merge(now, Update{v.entries[name].Member, Dead, v.entries[name].Incarnation})
		v.disseminate([]Update{v.entries[name].Update}, "")
	}
	if now >= v.nextProbe {
		v.nextProbe = now + v.policy.ProbeInterval
		v.probeNext(now)
	}
	if now >= v.nextSweep {
		v.nextSweep = now + deadProbeInterval
		v.sweepDead(now)
	}

	return v.takeOutgoing()
}

// recoverFromPause discards the probes that were in flight while this daemon itself was paused, and
// restarts the suspicion period of suspected daemons, because the missing answers were its own fault.
func (v *View) recoverFromPause(now clock.Milli) {
	clear(v.probes)
	for name := range v.suspects {
		v.entries[name].Since = now
	}
}

// expireProbes requests indirect probes of daemons that did not answer in time, and suspects a daemon if
// these fail too or there is no neighbour to ask.
func (v *View) expireProbes(now clock.Milli) {
	for seq, p := range v.probes {
		if now < p.deadline {
			continue
		}
		e := v.entries[p.target]
		switch {
		case e == nil || p.requester != "":
			delete(v.probes, seq)
		case !p.helpRequested && v.requestProbes(seq, p.target):
			p.helpRequested, p.deadline = true, now+v.policy.ProbeTimeout+v.policy.ProbeTimeout/2
		default:
			delete(v.probes, seq)
			if e.State == Alive || e.State == Leaving {
				v.suspect(now, e)
			}
		}
	}
}

// suspect starts the suspicion of a daemon. A leaving daemon that does not answer is considered dead.
func (v *View) suspect(now clock.Milli, e *Entry) {
	state := Suspect
	if e.State == Leaving {
		state = Dead
	}
	if v.merge(now, Update{e.Member, state, e.Incarnation}) {
		v.disseminate([]Update{e.Update}, "")
	}
}

func (v *View) expiredSuspects(now clock.Milli) []string {
	var list []string
	for name := range v.suspects {
		if now-v.entries[name].Since >= v.policy.SuspicionTimeout {
			list = append(list, name)
		}
	}

	return list
}

func (v *View) ping(now clock.Milli, e *Entry, requester string, seq uint64) {
	v.seq++
	v.probes[v.seq] = &probe{target: e.Member.Name, deadline: now + v.policy.ProbeTimeout, requester: requester, seq: seq}
	m := Message{Kind: Ping, Seq: v.seq}
	if e.State == Suspect || e.State == Dead {
		m.Updates = []Update{e.Update}
	}
	v.send(e.Member, m)
}

func (v *View) probeNext(now clock.Milli) {
	if len(v.neighbours) == 0 {
		return
	}
	v.probeIndex++
	if v.probeIndex%len(v.neighbours) == 0 {
		v.random.Shuffle(len(v.neighbours), func(i, j int) {
			v.neighbours[i], v.neighbours[j] = v.neighbours[j], v.neighbours[i]
		})
	}
	v.ping(now, v.entries[v.neighbours[v.probeIndex%len(v.neighbours)]], "", 0)
}

// requestProbes asks neighbours to probe the target and reports whether there were any to ask.
func (v *View) requestProbes(seq uint64, target string) bool {
	requested := 0
	for _, name := range v.neighbours {
		if name != target && requested < v.policy.IndirectProbes {
			v.send(v.entries[name].Member, Message{Kind: PingRequest, Seq: seq, Target: target})
			requested++
		}
	}

	return requested > 0
}

// sweepDead probes dead daemons that are due, at most one a call, in case only the network path to them was
// broken, and removes those that have had no seat for long enough.
func (v *View) sweepDead(now clock.Milli) {
	probed := false
	for name, e := range v.entries {
		if e.State != Dead {
			continue
		}
		if !e.seat && now-e.Since >= deadRetention {
			delete(v.entries, name)
			v.changed = true

			continue
		}
		if now >= e.nextProbe && !probed {
			probed = true
			e.nextProbe = now + deadProbeInterval
			v.ping(now, e, "", 0)
		}
	}
}

// HandleLinkFailure handles a link to a daemon that was lost or cannot be opened. It probes the daemon at once.
func (v *View) HandleLinkFailure(now clock.Milli, name string) []Envelope {
	e := v.entries[name]
	if e == nil || e.State == Dead {
		return nil
	}
	for _, p := range v.probes {
		if p.target == name && p.requester == "" {
			p.deadline = min(p.deadline, now)

			return v.takeOutgoing()
		}
	}
	v.ping(now, e, "", 0)

	return v.takeOutgoing()
}
