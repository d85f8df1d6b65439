package budget

import "jacinthferry/core/clock"

const (
	// slotSpan is the length of the slots in which sends are counted, and slotCount the number of slots
	// kept: those of WindowSpan, and the current one, which is incomplete.
	slotSpan  = 500 * clock.Millisecond
	slotCount = 21
	// WindowSpan is the time over which sends are counted.
	WindowSpan = (slotCount - 1) * slotSpan
)

// Quota is how many extra sends are allowed: Ratio for each initial send, plus Slack.
type Quota struct {
	Ratio float64
	Slack float64
}

// SlidingWindow limits the extra sends within any WindowSpan by the initial sends of the same time. Unlike a
// Bucket, it has no burst limit: quota that was left unused in a quiet time can be used at once. It is
// not safe for concurrent use.
type SlidingWindow struct {
	quota Quota
	slots [slotCount]slot
	// last is the number of the newest slot, counted from the Unix epoch.
	last int64
}

// slot counts the sends of one slotSpan.
type slot struct{ initial, extra int }

// NewSlidingWindow returns a window that has counted nothing.
func NewSlidingWindow(now clock.Milli, quota Quota) *SlidingWindow {
	return &SlidingWindow{quota: quota, last: slotNumber(now)}
}

// SetQuota changes the quota. Sends counted before count under the new one.
func (w *SlidingWindow) SetQuota(quota Quota) { w.quota = quota }

// CountInitial counts an initial send.
func (w *SlidingWindow) CountInitial(now clock.Milli) { w.slotAt(now).initial++ }

// Take reports whether the quota allows an extra send, and counts the send if so.
func (w *SlidingWindow) Take(now clock.Milli) bool {
	newest := w.slotAt(now)
	initial, extra := 0, 0
	for i := range w.slots {
		initial += w.slots[i].initial
		extra += w.slots[i].extra
	}
	// The oldest slot may lie outside the window; its initial sends do not count then.
	initial -= w.slots[(w.last+1)%slotCount].initial
	if float64(extra+1) > w.quota.Ratio*float64(initial)+w.quota.Slack {
		return false
	}
	newest.extra++

	return true
}

// slotAt returns the slot of an instant after clearing the slots that are too old.
func (w *SlidingWindow) slotAt(now clock.Milli) *slot {
	n := max(w.last, slotNumber(now))
	for w.last < n {
		if n-w.last > slotCount {
			w.last = n - slotCount
		}
		w.last++
		w.slots[w.last%slotCount] = slot{}
	}

	return &w.slots[n%slotCount]
}

func slotNumber(now clock.Milli) int64 { return int64(now / slotSpan) }
