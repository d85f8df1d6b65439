package home

import (
	"fmt"
	"slices"

	"jacinthferry/core/clock"
)

// Config are the time bounds that the hand-over protocol relies on.
type Config struct {
	// MembershipLag bounds how long a disconnected or paused daemon still acts as a holder, and how long a
	// membership change takes to reach every other daemon.
	MembershipLag clock.Milli
	// HandoverGrace is how long a former home keeps sending until its successor claims the upstream, and how
	// long legs wait at a successor that does not hold the upstream yet.
	HandoverGrace clock.Milli
	// MaxLegDuration is the maximum duration of a leg at an upstream.
	MaxLegDuration clock.Milli
	// OverrunMargin is how long a leg can run past its deadline.
	OverrunMargin clock.Milli
}

// SafeDelay returns the time after which no former holder can have running legs.
func (r Config) SafeDelay() clock.Milli {
	return r.MembershipLag + r.HandoverGrace + r.MaxLegDuration + r.OverrunMargin
}

// MessageKind is the type of a Message.
type MessageKind string

// The message kinds.
const (
	// Claim claims an upstream.
	Claim MessageKind = "ask"
	// Yield reports that the sender has stopped sending legs to the upstream in favour of the claimant.
	Yield MessageKind = "yield"
	// Deny rejects a claim: the sender ranks above the claimant and keeps the upstream.
	Deny MessageKind = "deny"
)

// Message is exchanged between daemons to transfer the ownership of an upstream.
type Message struct {
	Kind     MessageKind
	Upstream string
	// Epoch identifies the claim. The claimant chooses it, and a reply repeats it.
	Epoch uint64
	// FromHolder is set in a Yield from the holder. Running is the number of its legs that have not ended.
	FromHolder bool
	Running    int
	// Zone is the claimant's availability zone in a Claim, because the receiver may not know the claimant yet.
	Zone string
}

// Envelope is a message with the name of the daemon that it is addressed to.
type Envelope struct {
	To      string
	Message Message
}

type phase uint8

const (
	inactive phase = iota
	claiming
	held
)

// Ownership is one daemon's state of the protocol that decides which daemon may send legs to one
// upstream. It is not safe for concurrent use. The zero value is not usable; call New.
type Ownership struct {
	rules    *Config
	upstream string
	phase    phase
	// assigned is set while the routing table makes this daemon the home, assignedAt is when it last
	// became the home and releasedAt when it last ceased to be. graceExpired is set once the grace
	// period after the release is over.
	assigned     bool
	assignedAt   clock.Milli
	releasedAt   clock.Milli
	graceExpired bool
	// epoch and claimedAt are the number and the start time of the newest claim.
	epoch     uint64
	claimedAt clock.Milli
	// lastSent is when the claim was last sent to the daemons that have not answered.
	lastSent clock.Milli
	// pending names the daemons that have not answered the claim; yields has the answers of the others.
	pending []string
	yields  []yield
	// handedOver is set once the holder has yielded, or if this daemon was the holder itself.
	handedOver bool
	// confirmedAt is when this daemon was last known to be counted as a member.
	confirmedAt clock.Milli
	// retryAt is when a daemon that yielded claims again if its table still makes it the home.
	retryAt clock.Milli
	// successor is the claimant that this daemon last yielded to, and successorEpoch the epoch of that
	// claim. wasHolder is set if this daemon was the holder then. confirmationDue is set until the
	// successor has been told that all legs ended.
	successor       string
	successorEpoch  uint64
	wasHolder       bool
	confirmationDue bool
}

// yield is an answer to a claim: a daemon that yielded and the number of its legs that have not ended.
type yield struct {
	name    string
	running int
}

// New returns the ownership of a daemon that is not the home of the upstream.
func New(rules *Config, upstream string) *Ownership {
	return &Ownership{rules: rules, upstream: upstream}
}

// Held reports whether the daemon holds the upstream and may use all its slots.
func (o *Ownership) Held() bool { return o.phase == held }

// Assigned reports whether the routing table makes this daemon the home.
func (o *Ownership) Assigned() bool { return o.assigned }

// DescribeClaim returns a short summary of the newest claim, for events.
func (o *Ownership) DescribeClaim(now clock.Milli) string {
	outcome := "no holder confirmed"
	if o.handedOver {
		outcome = "handed over"
	}

	return fmt.Sprintf("%s, %d unanswered %v, %d legs still running, after %.0f ms",
		outcome, len(o.pending), o.pending, o.runningLegs(), float64(now-o.assignedAt))
}

// HandoverExpected reports whether the daemon became the home less than the grace period ago and does not hold the
// upstream yet, but is likely to hold it soon.
func (o *Ownership) HandoverExpected(now clock.Milli) bool {
	return o.assigned && o.phase != held && now-o.assignedAt < o.rules.HandoverGrace
}

// Discardable reports whether the ownership has no state worth keeping. A claimant that did not receive the
// answer sends its claim again, so the answer is kept for as long as it can matter.
func (o *Ownership) Discardable(now clock.Milli) bool {
	return o.phase == inactive && !o.assigned && !o.confirmationDue && now >= o.retryAt
}

// Claim handles an assignment: the routing table makes this daemon the home. The candidates are the
// daemons that could be the holder now. It returns the claims to send.
func (o *Ownership) Claim(now clock.Milli, candidates []string) []Envelope {
	if o.assigned && o.phase == claiming {
		return o.sendClaims(candidates)
	}
	if o.assigned {
		return nil
	}
	o.assigned, o.graceExpired, o.assignedAt = true, false, now

	return o.startClaim(now, candidates)
}

// Release handles the end of an assignment: the routing table makes another daemon the home.
func (o *Ownership) Release(now clock.Milli) {
	if !o.assigned {
		return
	}
	o.assigned, o.releasedAt, o.retryAt = false, now, now+o.rules.SafeDelay()
	// A former holder keeps sending for the grace period, and can hand over to the next holder.
	if o.phase != held {
		o.phase, o.handedOver = inactive, false
	}
}

// startClaim starts a claim under a new epoch.
func (o *Ownership) startClaim(now clock.Milli, candidates []string) []Envelope {
	// A claim that was denied keeps the hand-over of a holder that yielded to it.
	o.handedOver = o.handedOver || o.phase == held
	o.phase, o.claimedAt, o.lastSent = claiming, now, now
	// Only gaps in the confirmation from now on matter, since nothing is held from before.
	o.confirmedAt = now
	o.epoch = max(o.epoch+1, uint64(now))
	o.pending, o.yields = nil, nil
	o.confirmationDue, o.wasHolder = false, false
	if o.successor != "" && !slices.Contains(candidates, o.successor) {
		candidates = append(slices.Clone(candidates), o.successor)
	}

	return o.sendClaims(candidates)
}

// sendClaims returns the claim for each candidate that it has not been sent to yet.
func (o *Ownership) sendClaims(candidates []string) []Envelope {
	var sends []Envelope
	for _, name := range candidates {
		if slices.Contains(o.pending, name) || o.yieldFrom(name) != nil {
			continue
		}
		o.pending = append(o.pending, name)
		sends = append(sends, o.claimMessage(name))
	}

	return sends
}

func (o *Ownership) yieldFrom(name string) *yield {
	for i := range o.yields {
		if o.yields[i].name == name {
			return &o.yields[i]
		}
	}

	return nil
}

// runningLegs returns the number of legs of daemons that yielded that have not ended.
func (o *Ownership) runningLegs() int {
	n := 0
	for _, y := range o.yields {
		n += y.running
	}

	return n
}

func (o *Ownership) claimMessage(to string) Envelope {
	return Envelope{to, Message{Kind: Claim, Upstream: o.upstream, Epoch: o.epoch}}
}

// HandleLinkOpened handles the opening of a link to a daemon. It sends a claim again that the daemon has not answered.
func (o *Ownership) HandleLinkOpened(name string) []Envelope {
	if o.phase != claiming || !slices.Contains(o.pending, name) {
		return nil
	}

	return []Envelope{o.claimMessage(name)}
}

// HandleClaim handles another daemon's claim and returns the answer. Call Advance first. The flag ranksLower is
// set when the claimant comes after this daemon in the order of homes; running is the number of this
// daemon's legs that have not ended.
func (o *Ownership) HandleClaim(now clock.Milli, from string, epoch uint64, ranksLower bool, running int) Envelope {
	reply := Message{Upstream: o.upstream, Epoch: epoch}
	if o.assigned && o.phase != inactive && ranksLower {
		reply.Kind = Deny

		return Envelope{from, reply}
	}
	repeated := o.successor == from && o.successorEpoch == epoch
	o.wasHolder = o.phase == held || (repeated && o.wasHolder)
	o.successor, o.successorEpoch, o.confirmationDue = from, epoch, running > 0
	o.handedOver = false
	reply.Kind, reply.FromHolder, reply.Running = Yield, o.wasHolder, running
	o.phase, o.retryAt = inactive, now+o.rules.SafeDelay()

	return Envelope{from, reply}
}

// HandleReply handles an answer to a claim. It ignores answers to earlier claims.
func (o *Ownership) HandleReply(now clock.Milli, from string, m Message) {
	if o.phase != claiming || m.Epoch != o.epoch {
		return
	}
	if m.Kind == Deny {
		// The routing tables of the two daemons differ; one of them is about to change.
		o.phase, o.retryAt = inactive, now+resendInterval

		return
	}
	o.handedOver = o.handedOver || m.FromHolder
	if y := o.yieldFrom(from); y != nil {
		y.running = min(y.running, m.Running)

		return
	}
	if i := slices.Index(o.pending, from); i >= 0 {
		o.pending = slices.Delete(o.pending, i, i+1)
	}
	o.yields = append(o.yields, yield{from, m.Running})
}

// HandleLegsEnded handles the end of this daemon's last leg at the upstream. It returns the confirmation that a
// successor waits for, and false if there is none to send.
func (o *Ownership) HandleLegsEnded() (Envelope, bool) {
	if !o.confirmationDue || o.phase != inactive {
		return Envelope{}, false
	}
	o.confirmationDue = false

	return Envelope{
		o.successor, Message{Kind: Yield, Upstream: o.upstream, Epoch: o.successorEpoch, FromHolder: o.wasHolder},
	}, true
}

// Advance updates the state to the time now and returns the claims to send. The time confirmedAt is when
// this daemon was last known to be counted as a member; candidates returns the daemons to send a claim
// to that has to start again.
func (o *Ownership) Advance(now, confirmedAt clock.Milli, candidates func() []string) []Envelope {
	// A gap that has ended, such as a pause, counts as well: other daemons may have claimed in the meantime.
	lapsed := now-confirmedAt > o.rules.MembershipLag || confirmedAt-o.confirmedAt > o.rules.MembershipLag
	o.confirmedAt = confirmedAt
	o.graceExpired = !o.assigned && now-o.releasedAt >= o.rules.HandoverGrace
	switch {
	case o.phase != inactive && lapsed:
		o.phase, o.handedOver = inactive, false
		o.retryAt = now
	case o.phase == held && !o.assigned && now >= o.retryAt:
		// Another daemon can hold the upstream by now without a claim to this one.
		o.phase, o.handedOver = inactive, false
	case o.phase == claiming && o.claimComplete(now):
		o.phase = held
	case o.phase == held:
		o.pending, o.yields = nil, nil
	case o.phase == claiming && now-o.lastSent >= resendInterval:
		return o.resendClaims(now)
	}
	if o.phase == inactive && o.assigned && now >= o.retryAt && now-confirmedAt <= o.rules.MembershipLag {
		return o.startClaim(now, candidates())
	}

	return nil
}

// resendInterval is the time after which an unanswered claim is sent again, since a message is lost when
// no link is open. A denied claim is retried after the same time.
const resendInterval = 100 * clock.Millisecond

func (o *Ownership) resendClaims(now clock.Milli) []Envelope {
	o.lastSent = now
	var sends []Envelope
	for _, name := range o.pending {
		sends = append(sends, o.claimMessage(name))
	}
	for _, y := range o.yields {
		if y.running > 0 {
			sends = append(sends, o.claimMessage(y.name))
		}
	}

	return sends
}

func (o *Ownership) claimComplete(now clock.Milli) bool {
	// There is at most one holder, and it became the holder only after all earlier legs had ended. So
	// its confirmation is enough: there is no need to wait for a daemon that is gone and does not answer.
	if o.handedOver && o.runningLegs() == 0 {
		return true
	}

	return now-o.claimedAt >= o.rules.SafeDelay()
}

// MaxLegs returns the maximum number of legs that this daemon may have at the upstream, where coldLimit
// is the upstream's concurrency limit while it is cold and slots the limit otherwise. Call Advance first.
func (o *Ownership) MaxLegs(coldLimit, slots int) int {
	switch {
	case o.phase == inactive || o.graceExpired:
		return 0
	case o.phase == held:
		return slots
	case o.handedOver:
		return max(0, coldLimit-o.runningLegs())
	default:
		// An unknown former holder may have legs in every slot.
		return 0
	}
}

// Epoch returns the number of the newest claim.
func (o *Ownership) Epoch() uint64 { return o.epoch }
