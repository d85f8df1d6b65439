package budget

import "jacinthferry/core/clock"

const (
	// slotSpan is the time of which a Window counts sends together, and slotCount how many such times
	// it keeps: those of WindowSpan, and the one that has just begun.
	slotSpan  = 500 * clock.Millisecond
	slotCount = 21
	// WindowSpan is the time over which a Window counts.
	WindowSpan = (slotCount - 1) * slotSpan
)

// Quota is how many extra sends a Window allows: Ratio for each ordinary one, and Slack beside them.
type Quota struct {
	Ratio float64
	Slack float64
}

// Window bounds the extra sends within any WindowSpan by the ordinary ones of the same time. Unlike a
// Bucket it lets what a calm time did not use be used at once.
type Window struct {
	quota Quota
	slots [slotCount]slot
	// last is the number of the newest slot since the epoch.
	last int64
}

// slot counts the sends of one slotSpan.
type slot struct{ ordinary, extra int }

// NewWindow returns a window that has counted nothing.
func NewWindow(now clock.Milli, quota Quota) *Window {
	return &Window{quota: quota, last: slotOf(now)}
}

// Limit changes the quota.
func (w *Window) Limit(quota Quota) { w.quota = quota }

// Earn counts an ordinary send.
func (w *Window) Earn(now clock.Milli) { w.at(now).ordinary++ }

// Take counts one extra send and reports whether the quota allows it.
func (w *Window) Take(now clock.Milli) bool {
	newest := w.at(now)
	ordinary, extra := 0, 0
	for i := range w.slots {
		ordinary += w.slots[i].ordinary
		extra += w.slots[i].extra
	}
	// The oldest slot may lie outside of the span; its ordinary sends do not count then.
	ordinary -= w.slots[(w.last+1)%slotCount].ordinary
	if float64(extra+1) > w.quota.Ratio*float64(ordinary)+w.quota.Slack {
		return false
	}
	newest.extra++

	return true
}

// at returns the slot of an instant, after dropping those that are too old.
func (w *Window) at(now clock.Milli) *slot {
	n := max(w.last, slotOf(now))
	for w.last < n {
		if n-w.last > slotCount {
			w.last = n - slotCount
		}
		w.last++
		w.slots[w.last%slotCount] = slot{}
	}

	return &w.slots[n%slotCount]
}

func slotOf(now clock.Milli) int64 { return int64(now / slotSpan) }
