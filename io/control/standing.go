package control

import "jacinthferry/core/clock"

// Limits after which a daemon that stood still, or heard of no other, may have been taken for dead.
const (
	// pauseLimit is the longest time between two ticks in which nobody can have noticed a pause.
	pauseLimit = clock.Second
	// quietLimit is how long a daemon may hear no other live one.
	contactTimeout = 1500 * clock.Millisecond
)

// standing is the daemon's standing as of one tick.
type standing struct {
	epoch       uint64
	lastTick    clock.Milli
	lastContact clock.Milli
	joined      bool
}

// Standing returns the epoch of this daemon's standing as a home, and whether it holds at this very
// moment. It reads the daemon's own monotonic clock, so that one which was paused finds out before
// its next effect, even before its control thread has run again.
func (c *Control) Standing() (uint64, bool) {
	t := c.standing.Load()
	now := c.opts.Now()

	return t.epoch, t.joined && now-t.lastTick < pauseLimit && now-t.lastContact < contactTimeout
}

// present publishes the standing as of now.
func (c *Control) publishStanding(now clock.Milli) {
	c.standing.Store(&standing{
		epoch: c.view.Self().Incarnation, lastTick: now, lastContact: c.view.Heard(now), joined: c.joined,
	})
}
