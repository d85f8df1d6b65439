package home

import (
	"fmt"
	"slices"

	"jacinthferry/core/clock"
)

// Rules are the spans that the protocol relies on.
type Rules struct {
	// Lag is how long a daemon that is cut off or paused goes on as a holder, and how long a change
	// of the members takes to reach every other daemon.
	Lag clock.Milli
	// Grace is how long a former home goes on while its successor has not asked yet, and how long legs
	// wait at a successor that does not hold the upstream yet.
	Grace clock.Milli
	// Longest is the longest time that a leg is given at an upstream.
	Longest clock.Milli
	// Margin is how long after its deadline a leg can still run.
	Margin clock.Milli
}

// Wait is the time after which no former holder can have legs running.
func (r Rules) Wait() clock.Milli { return r.Lag + r.Grace + r.Longest + r.Margin }

// Kind tells messages apart.
type Kind string

// The kinds of Message.
const (
	// Ask claims an upstream.
	Ask Kind = "ask"
	// Yield says that the sender sends no legs to the upstream and leaves it to the claimant.
	Yield Kind = "yield"
	// Deny says that the sender goes before the claimant and keeps the upstream.
	Deny Kind = "deny"
)

// Message is what daemons tell each other about an upstream.
type Message struct {
	Kind     Kind
	Upstream string
	// Epoch is the number of the claim, given by the claimant. A reply repeats it.
	Epoch uint64
	// Held is set in a Yield from the holder. Running is how many of its legs have not ended.
	Held    bool
	Running int
	// Zone is the claimant's, in an Ask, because the receiver may not know the claimant yet.
	Zone string
}

// Send is a message and the daemon that it goes to.
type Send struct {
	To      string
	Message Message
}

type phase uint8

const (
	away phase = iota
	claiming
	held
)

// Ownership is what a daemon knows of its right to send to one upstream. The zero value is not usable;
// call New.
type Ownership struct {
	rules    *Rules
	upstream string
	phase    phase
	// mine is set while the routing table makes this daemon the home, and released is when it last
	// ceased to; muted is set once the grace after that is over.
	// wanted is when it last became the home.
	mine     bool
	wanted   clock.Milli
	released clock.Milli
	muted    bool
	// epoch and since are the number and the start of the newest claim.
	epoch uint64
	since clock.Milli
	// spoke is when the claim last went to a daemon that has not answered.
	spoke clock.Milli
	// asked are the daemons that have not answered the claim, and answered those that have.
	asked    []string
	answered []answer
	// vouched is set once the holder answered, or if this daemon was the holder itself.
	vouched bool
	// confirmed is when this daemon was last known to be counted as a member.
	confirmed clock.Milli
	// retry is when a daemon that gave way claims again if its table still makes it the home.
	retry clock.Milli
	// successor is the claimant that this daemon gave way to last, under epoch follows, and vouch is
	// set if this daemon was the holder then; owed is set until it was told that all legs ended.
	successor string
	follows   uint64
	vouch     bool
	owed      bool
}

// answer is how many legs of a daemon that gave way have not ended.
type answer struct {
	name    string
	running int
}

// New returns the ownership of a daemon that is not home to the upstream.
func New(rules *Rules, upstream string) *Ownership {
	return &Ownership{rules: rules, upstream: upstream}
}

// Held reports whether the daemon may use all that the upstream bears.
func (o *Ownership) Held() bool { return o.phase == held }

// Mine reports whether the routing table makes this daemon the home.
func (o *Ownership) Mine() bool { return o.mine }

// Describe says in a few words how the newest claim went.
func (o *Ownership) Describe(now clock.Milli) string {
	word := "nobody vouched"
	if o.vouched {
		word = "handed over"
	}

	return fmt.Sprintf("%s, %d unanswered %v, %d legs left, after %.0f ms",
		word, len(o.asked), o.asked, o.left(), float64(now-o.wanted))
}

// Soon reports whether the daemon is likely to hold the upstream in a moment.
func (o *Ownership) Soon(now clock.Milli) bool {
	return o.mine && o.phase != held && now-o.wanted < o.rules.Grace
}

// Idle reports whether the ownership holds nothing worth keeping. A claimant that did not get the
// answer asks again, so that the word given to it is kept for as long as it can matter.
func (o *Ownership) Idle(now clock.Milli) bool {
	return o.phase == away && !o.mine && !o.owed && now >= o.retry
}

// Claim says that the routing table makes this daemon the home. Others are the daemons that could
// be the holder now.
func (o *Ownership) Claim(now clock.Milli, others []string) []Send {
	if o.mine && o.phase == claiming {
		return o.ask(others)
	}
	if o.mine {
		return nil
	}
	o.mine, o.muted, o.wanted = true, false, now

	return o.begin(now, others)
}

// Release says that the routing table makes another daemon the home.
func (o *Ownership) Release(now clock.Milli) {
	if !o.mine {
		return
	}
	o.mine, o.released, o.retry = false, now, now+o.rules.Wait()
	// A former holder goes on for a while, and can vouch for the next one.
	if o.phase != held {
		o.phase, o.vouched = away, false
	}
}

// begin starts a claim under a new epoch.
func (o *Ownership) begin(now clock.Milli, others []string) []Send {
	// A denied claim keeps the word of a holder that gave way to it.
	o.vouched = o.vouched || o.phase == held
	o.phase, o.since, o.spoke = claiming, now, now
	// Only a gap from now on counts: nothing is held from before.
	o.confirmed = now
	o.epoch = max(o.epoch+1, uint64(now))
	o.asked, o.answered = nil, nil
	o.owed, o.vouch = false, false
	if o.successor != "" && !slices.Contains(others, o.successor) {
		others = append(slices.Clone(others), o.successor)
	}

	return o.ask(others)
}

// ask sends the claim to the candidates that it has not gone to yet.
func (o *Ownership) ask(others []string) []Send {
	var sends []Send
	for _, name := range others {
		if slices.Contains(o.asked, name) || o.replied(name) != nil {
			continue
		}
		o.asked = append(o.asked, name)
		sends = append(sends, o.claim(name))
	}

	return sends
}

func (o *Ownership) replied(name string) *answer {
	for i := range o.answered {
		if o.answered[i].name == name {
			return &o.answered[i]
		}
	}

	return nil
}

// left returns how many legs of daemons that gave way have not ended.
func (o *Ownership) left() int {
	n := 0
	for _, a := range o.answered {
		n += a.running
	}

	return n
}

func (o *Ownership) claim(to string) Send {
	return Send{to, Message{Kind: Ask, Upstream: o.upstream, Epoch: o.epoch}}
}

// Linked says that a link to a daemon was opened. A claim that has no answer from it goes again.
func (o *Ownership) Linked(name string) []Send {
	if o.phase != claiming || !slices.Contains(o.asked, name) {
		return nil
	}

	return []Send{o.claim(name)}
}

// Asked takes another daemon's claim. Call Check first. Behind is set when the claimant comes after this daemon in
// the order of homes; running is how many of this daemon's legs have not ended.
func (o *Ownership) Asked(now clock.Milli, from string, epoch uint64, behind bool, running int) Send {
	reply := Message{Upstream: o.upstream, Epoch: epoch}
	if o.mine && o.phase != away && behind {
		reply.Kind = Deny

		return Send{from, reply}
	}
	again := o.successor == from && o.follows == epoch
	o.vouch = o.phase == held || (again && o.vouch)
	o.successor, o.follows, o.owed = from, epoch, running > 0
	o.vouched = false
	reply.Kind, reply.Held, reply.Running = Yield, o.vouch, running
	o.phase, o.retry = away, now+o.rules.Wait()

	return Send{from, reply}
}

// Replied takes the answer to a claim.
func (o *Ownership) Replied(now clock.Milli, from string, m Message) {
	if o.phase != claiming || m.Epoch != o.epoch {
		return
	}
	if m.Kind == Deny {
		// The two tables differ; one of them is about to change.
		o.phase, o.retry = away, now+repeat

		return
	}
	o.vouched = o.vouched || m.Held
	if a := o.replied(from); a != nil {
		a.running = min(a.running, m.Running)

		return
	}
	if i := slices.Index(o.asked, from); i >= 0 {
		o.asked = slices.Delete(o.asked, i, i+1)
	}
	o.answered = append(o.answered, answer{from, m.Running})
}

// Ended says that this daemon has no more legs at the upstream. It returns the confirmation that a
// successor waits for, if there is one.
func (o *Ownership) Ended() (Send, bool) {
	if !o.owed || o.phase != away {
		return Send{}, false
	}
	o.owed = false

	return Send{o.successor, Message{Kind: Yield, Upstream: o.upstream, Epoch: o.follows, Held: o.vouch}}, true
}

// Check brings the ownership up to date. Confirmed is when this daemon was last known to be counted as
// a member; others are the candidates for a claim that has to start again.
func (o *Ownership) Check(now, confirmed clock.Milli, others func() []string) []Send {
	// A gap that is over by now, such as a pause, counts as well: others may have acted in it.
	lapsed := now-confirmed > o.rules.Lag || confirmed-o.confirmed > o.rules.Lag
	o.confirmed = confirmed
	o.muted = !o.mine && now-o.released >= o.rules.Grace
	switch {
	case o.phase != away && lapsed:
		o.phase, o.vouched = away, false
		o.retry = now
	case o.phase == held && !o.mine && now >= o.retry:
		// Another daemon can hold the upstream by now without having asked.
		o.phase, o.vouched = away, false
	case o.phase == claiming && o.complete(now):
		o.phase = held
	case o.phase == held:
		o.asked, o.answered = nil, nil
	case o.phase == claiming && now-o.spoke >= repeat:
		return o.resend(now)
	}
	if o.phase == away && o.mine && now >= o.retry && now-confirmed <= o.rules.Lag {
		return o.begin(now, others())
	}

	return nil
}

// repeat is the time after which a claim that has no answer goes again, since a message that finds no
// open link is lost.
const repeat = 100 * clock.Millisecond

func (o *Ownership) resend(now clock.Milli) []Send {
	o.spoke = now
	var sends []Send
	for _, name := range o.asked {
		sends = append(sends, o.claim(name))
	}
	for _, a := range o.answered {
		if a.running > 0 {
			sends = append(sends, o.claim(a.name))
		}
	}

	return sends
}

func (o *Ownership) complete(now clock.Milli) bool {
	// There is one holder at most, and it took hold only after all earlier legs had ended. So its word
	// is enough: a daemon that is gone and does not answer need not be waited for.
	if o.vouched && o.left() == 0 {
		return true
	}

	return now-o.since >= o.rules.Wait()
}

// Allowed returns how many legs this daemon may have at the upstream, of the slots that it has and
// of those that it bears while cold. Call Check first.
func (o *Ownership) Allowed(bears, slots int) int {
	switch {
	case o.phase == away || o.muted:
		return 0
	case o.phase == held:
		return slots
	case o.vouched:
		return max(0, bears-o.left())
	default:
		// A former holder may have legs in every slot.
		return 0
	}
}

// Epoch returns the number of the newest claim.
func (o *Ownership) Epoch() uint64 { return o.epoch }
