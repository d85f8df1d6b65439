package control

import "jacinthferry/core/clock"

// Limits after which the others may consider a daemon dead that was paused or isolated.
const (
	// pauseLimit is the maximum time between two ticks in which no other daemon can notice a pause.
	pauseLimit = clock.Second
	// contactTimeout is how long a daemon may be without a message from another live one.
	contactTimeout = 1500 * clock.Millisecond
)

// membership is what Membership is computed from, as of one tick.
type membership struct {
	epoch       uint64
	lastTick    clock.Milli
	lastContact clock.Milli
	joined      bool
}

// Membership returns the epoch of this daemon as a home, and whether it can now be sure that it has not
// been replaced as one. It reads the daemon's own monotonic clock, so that a daemon that was paused
// detects it before its next side effect, even before its control thread has run again. It is safe
// for concurrent use.
func (c *Control) Membership() (uint64, bool) {
	t := c.membership.Load()
	now := c.opts.Now()

	return t.epoch, t.joined && now-t.lastTick < pauseLimit && now-t.lastContact < contactTimeout
}

// publishMembership stores what Membership is computed from, as of the given time. It runs on each tick.
func (c *Control) publishMembership(now clock.Milli) {
	c.membership.Store(&membership{
		epoch: c.view.Self().Incarnation, lastTick: now, lastContact: c.view.LastContact(now), joined: c.joined,
	})
}
