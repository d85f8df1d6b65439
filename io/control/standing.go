package control

import "jacinthferry/core/clock"

// Limits after which the others may consider a daemon dead that was paused or isolated.
const (
	// pauseLimit is the maximum time between two ticks in which no other daemon can notice a pause.
	pauseLimit = clock.Second
	// contactTimeout is how long a daemon may be without a message from another live one.
	contactTimeout = 1500 * clock.Millisecond
)

// standing is the basis of Standing as of one tick.
type standing struct {
	epoch       uint64
	lastTick    clock.Milli
	lastContact clock.Milli
	joined      bool
}

// Standing returns the epoch of this daemon as a home, and whether it can now be sure that it has not
// been replaced as one. It reads the daemon's own monotonic clock, so that a daemon that was paused
// detects it before its next side effect, even before its control thread has run again. It is safe
// for concurrent use.
func (c *Control) Standing() (uint64, bool) {
	t := c.standing.Load()
	now := c.opts.Now()

	return t.epoch, t.joined && now-t.lastTick < pauseLimit && now-t.lastContact < contactTimeout
}

// publishStanding publishes the standing as of now.
func (c *Control) publishStanding(now clock.Milli) {
	c.standing.Store(&standing{
		epoch: c.view.Self().Incarnation, lastTick: now, lastContact: c.view.LastContact(now), joined: c.joined,
	})
}
