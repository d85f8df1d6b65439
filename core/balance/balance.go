package balance

import (
	"math/rand/v2"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
)

const (
	// gain is the weight of a new sample in the moving averages.
	gain = 0.3
	// workGain is the same for the average of the time without a wait. Pauses and requests of several
	// kinds scatter it.
	workGain = 0.1
	// fade is the time after which an average without a new sample counts for half, so that an
	// upstream that was slow once is tried again.
	fade = 2 * clock.Second
	// usual is the latency expected of an upstream that was never asked.
	usual = 10 * clock.Millisecond
	// failureWeight is how many times longer the expected wait is at an upstream that always fails.
	failureWeight = 20
	// farWeight is how many times longer the expected wait counts in another availability zone.
	farWeight = 4
	// reportAge is how long a reported load counts.
	reportAge = 200 * clock.Millisecond
	// waitAge is how long a report of waiting requests counts.
	waitAge = clock.Second
	// suspectFactor is how many times its expected latency the oldest request in flight may be old
	// before new requests avoid the upstream, and suspectFloor the least such age.
	suspectFactor = 3
	suspectFloor  = 25 * clock.Millisecond
	// suspectWeight is how many times longer the expected wait counts at a suspected upstream.
	suspectWeight = 50
	// brokenPause is how long an upstream that cannot be connected to gets no request.
	brokenPause = 100 * clock.Millisecond
	// replacedPause is the same for one whose address another process has. Its entry lapses long
	// before.
	replacedPause = clock.Minute
	// fullPause is the same for one that is full.
	fullPause = 25 * clock.Millisecond
	// idleAge is how long an upstream that is not registered any more is remembered.
	idleAge = 30 * clock.Second
)

// Load is what an upstream reports of itself with an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// state is what is known of one upstream.
type state struct {
	// sent holds the instants at which the requests in flight were sent, oldest first.
	sent     []clock.Milli
	latency  clock.Milli
	failures float64
	at       clock.Milli
	load     Load
	loadAt   clock.Milli
	// work is how long the upstream takes for a request that does not wait for a slot, or 0 while
	// nothing is known.
	work clock.Milli
	// warm is when a cold start ends, and the bucket holds what the cold upstream still bears.
	warm   clock.Milli
	tokens float64
	filled clock.Milli
	// shut is until when the upstream gets no request.
	shut clock.Milli
}

// Rules bound what one daemon sends to an upstream.
type Rules struct {
	// Zone is the availability zone of this daemon.
	Zone string
	// Daemons returns how many daemons share an upstream's connections and cold rate.
	Daemons func() int
	// Uniform returns a random number from 0 to 1.
	Uniform func() float64
}

// Fleet is what one daemon knows of the upstreams. It is not safe for concurrent use.
type Fleet struct {
	rules  Rules
	states map[catalog.Key]*state
}

// New returns a fleet of which nothing is known.
func New(rules Rules) *Fleet {
	if rules.Uniform == nil {
		rules.Uniform = rand.Float64
	}

	return &Fleet{rules: rules, states: make(map[catalog.Key]*state)}
}

// Choose returns the upstream of list with the lowest expected wait that excluded does not name, or
// nil if none can take a request now.
func (f *Fleet) Choose(now clock.Milli, service catalog.Service, list []*catalog.Upstream,
	excluded func(*catalog.Upstream) bool,
) *catalog.Upstream {
	var best *catalog.Upstream
	var low float64
	for _, u := range list {
		if excluded(u) || !f.open(now, service, u) {
			continue
		}
		cost := f.cost(now, u) * (1 + f.rules.Uniform()/10)
		if best == nil || cost < low {
			best, low = u, cost
		}
	}

	return best
}

// Suspect reports whether the oldest request at the upstream is so old that another one sent there
// would probably wait too.
func (f *Fleet) Suspect(now clock.Milli, u *catalog.Upstream) bool {
	s := f.states[u.Key()]

	return s != nil && s.suspect(now)
}

// open reports whether the upstream may get one more request of this daemon.
func (f *Fleet) open(now clock.Milli, service catalog.Service, u *catalog.Upstream) bool {
	s := f.state(now, u)
	if now < s.shut {
		return false
	}
	if service.Connections > 0 && len(s.sent) >= f.connections(service) {
		return false
	}

	return s.coldAdmits(now, f.coldRate(service))
}

// connections returns this daemon's part of the connections that an upstream accepts.
func (f *Fleet) connections(service catalog.Service) int {
	return max(1, (service.Connections-connectionSpare)/f.daemons())
}

// connectionSpare is how many of an upstream's connections stay free for daemons that join.
const connectionSpare = 2

// coldRate returns this daemon's part of the requests a second that a cold upstream bears, or 0 for
// no limit.
func (f *Fleet) coldRate(service catalog.Service) float64 {
	return service.Rate / float64(f.daemons())
}

func (f *Fleet) daemons() int { return max(1, f.rules.Daemons()) }

// Sent says that a request was sent to the upstream.
func (f *Fleet) Sent(now clock.Milli, service catalog.Service, u *catalog.Upstream) {
	s := f.state(now, u)
	s.sent = append(s.sent, now)
	if now < s.warm && service.Rate > 0 {
		s.tokens--
	}
}

// Answered says that a request sent at an instant was answered well, with the load that the
// upstream reported, if any. Held is for how long the answer was kept on its way.
func (f *Fleet) Answered(now, sent, held clock.Milli, u *catalog.Upstream, load *Load) {
	s := f.ended(now, sent, u)
	s.learn(now, now-sent-held)
	s.failures -= gain * s.failures
	if load != nil {
		s.load, s.loadAt = *load, now
		s.learnWork((now - sent - held) / clock.Milli(1+float64(load.Waiting)/float64(max(1, load.Slots))))
	}
}

// Failed says that a request sent at an instant failed.
func (f *Fleet) Failed(now, sent clock.Milli, u *catalog.Upstream) {
	s := f.ended(now, sent, u)
	// A failure says nothing of the latency when it comes early.
	if now-sent > max(usual, s.latency) {
		s.learn(now, now-sent)
	}
	s.failures += gain * (1 - s.failures)
	s.at = now
}

// Unreachable says that no connection to the upstream was to be had for a request sent at an
// instant. It gets no other one for a while.
func (f *Fleet) Unreachable(now, sent clock.Milli, u *catalog.Upstream) {
	f.Failed(now, sent, u)
	s := f.state(now, u)
	s.shut = max(s.shut, now+brokenPause)
}

// Replaced says that another process answered at the upstream's address, to a request sent at an
// instant. The upstream has ended, whatever its entry says.
func (f *Fleet) Replaced(now, sent clock.Milli, u *catalog.Upstream) {
	s := f.ended(now, sent, u)
	s.at = now
	s.shut = now + replacedPause
}

// Full says that the upstream refused a request sent at an instant, or did not come to it in time,
// with the load that it reported, if any. It gets no other one for a short while.
func (f *Fleet) Full(now, sent clock.Milli, u *catalog.Upstream, load *Load) {
	s := f.ended(now, sent, u)
	if load != nil {
		s.load, s.loadAt = *load, now
	}
	s.failures += gain * (1 - s.failures)
	s.at = now
	s.shut = max(s.shut, now+fullPause)
}

// Dropped says that a request sent at an instant was given up. It would have taken longer.
func (f *Fleet) Dropped(now, sent clock.Milli, u *catalog.Upstream) {
	s := f.ended(now, sent, u)
	if now-sent > s.latency {
		s.learn(now, now-sent)
	}
}

// Chill says that the upstream is cold until an instant.
func (f *Fleet) Chill(now, until clock.Milli, u *catalog.Upstream) {
	s := f.state(now, u)
	if until > s.warm {
		s.warm, s.filled = until, now
	}
}

// Keep forgets the upstreams that were not heard of for long and have no request in flight.
func (f *Fleet) Keep(now clock.Milli) {
	for k, s := range f.states {
		if len(s.sent) == 0 && now-s.at > idleAge {
			delete(f.states, k)
		}
	}
}

// Expected returns the latency expected of one request at the upstream.
func (f *Fleet) Expected(now clock.Milli, u *catalog.Upstream) clock.Milli {
	return f.state(now, u).expected(now)
}

// Wait returns how long one more request is expected to wait for a slot at the upstream, or 0 when its
// last report says that none waits or is too old. Other daemons are taken to have sent as much since
// then as this one.
func (f *Fleet) Wait(now clock.Milli, u *catalog.Upstream) clock.Milli {
	s := f.states[u.Key()]
	if s == nil || s.load.Waiting == 0 || now-s.loadAt > waitAge {
		return 0
	}
	queue := s.load.Waiting + f.daemons()*s.sentSince(s.loadAt)
	wait := s.work * clock.Milli(queue) / clock.Milli(max(1, s.load.Slots))

	return max(0, wait-(now-s.loadAt))
}

// Work returns how long the upstream takes for a request that does not wait for a slot, or 0 when
// nothing is known.
func (f *Fleet) Work(now clock.Milli, u *catalog.Upstream) clock.Milli {
	s := f.states[u.Key()]
	if s == nil {
		return 0
	}

	return s.work * clock.Milli(s.weight(now))
}

func (f *Fleet) state(now clock.Milli, u *catalog.Upstream) *state {
	s := f.states[u.Key()]
	if s == nil {
		s = &state{warm: u.Seen + u.Warmup, filled: now, at: now}
		f.states[u.Key()] = s
	}

	return s
}

// cost is the time that one more request is expected to take, in milliseconds.
func (f *Fleet) cost(now clock.Milli, u *catalog.Upstream) float64 {
	s := f.state(now, u)
	cost := float64(s.expected(now)) * (1 + s.queue(now, u.Slots)) * (1 + failureWeight*s.failures*s.weight(now))
	if s.suspect(now) {
		cost *= suspectWeight
	}
	if u.Zone != f.rules.Zone {
		cost *= farWeight
	}

	return cost
}

// ended removes the request sent at an instant from those in flight.
func (f *Fleet) ended(now, sent clock.Milli, u *catalog.Upstream) *state {
	s := f.state(now, u)
	for i, at := range s.sent {
		if at == sent {
			s.sent = append(s.sent[:i], s.sent[i+1:]...)

			break
		}
	}

	return s
}

func (s *state) learn(now, latency clock.Milli) {
	if s.latency == 0 {
		s.latency = latency
	}
	s.latency += gain * (latency - s.latency)
	s.at = now
}

// sentSince is how many of the requests in flight were sent after an instant.
func (s *state) sentSince(at clock.Milli) int {
	n := 0
	for i := len(s.sent) - 1; i >= 0 && s.sent[i] > at; i-- {
		n++
	}

	return n
}

func (s *state) learnWork(work clock.Milli) {
	if s.work == 0 {
		s.work = work
	}
	s.work += workGain * (work - s.work)
}

// weight is how much the averages still count.
func (s *state) weight(now clock.Milli) float64 { return float64(fade / (fade + max(0, now-s.at))) }

func (s *state) expected(now clock.Milli) clock.Milli {
	if s.latency == 0 {
		return usual
	}
	w := clock.Milli(s.weight(now))

	return max(clock.Millisecond, s.latency*w+min(usual, s.latency)*(1-w))
}

// queue is how many rounds a new request waits for a slot before it runs.
func (s *state) queue(now clock.Milli, slots int) float64 {
	n := len(s.sent)
	if now-s.loadAt < reportAge && s.load.Slots > 0 {
		n = max(n, s.load.Running+s.load.Waiting)
	}

	return float64(n) / float64(max(1, slots))
}

func (s *state) suspect(now clock.Milli) bool {
	return len(s.sent) > 0 && now-s.sent[0] > max(suspectFloor, suspectFactor*s.expected(now))
}

// coldAdmits reports whether the upstream is warm or may get a request at the rate of a cold one.
func (s *state) coldAdmits(now clock.Milli, rate float64) bool {
	if rate <= 0 || now >= s.warm {
		return true
	}
	s.tokens = min(max(1, rate/coldBursts), s.tokens+rate*float64((now-s.filled)/clock.Second))
	s.filled = now

	return s.tokens >= 1
}

// coldBursts is the part of a second whose requests a cold upstream may get at once.
const coldBursts = 4
