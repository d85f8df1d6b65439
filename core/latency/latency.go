package latency

import (
	"math"

	"jacinthferry/core/clock"
)

// The buckets are spaced evenly on a logarithmic scale: perOctave buckets for each doubling, from lowest upwards.
const (
	perOctave = 8
	octaves   = 22
	buckets   = perOctave * octaves
	lowest    = clock.Millisecond / 32
)

// minSamples is how many samples a quantile needs.
const minSamples = 20

// histogram counts the samples of one span.
type histogram struct {
	counts [buckets]uint32
	total  uint32
}

// Window holds the samples of the current span and of the previous one. The zero value is not usable;
// call New. A Window is not safe for concurrent use.
type Window struct {
	span     clock.Milli
	start    clock.Milli
	current  histogram
	previous histogram
}

// New returns a window that drops a sample after one to two spans.
func New(span clock.Milli) *Window { return &Window{span: span} }

// Add adds a sample taken at an instant.
func (w *Window) Add(at, sample clock.Milli) {
	w.rotate(at)
	w.current.counts[bucketIndex(sample)]++
	w.current.total++
}

// Quantile returns the latency that a fraction q of the samples does not exceed, to within a tenth. It
// reports false while there are too few samples.
func (w *Window) Quantile(at clock.Milli, q float64) (clock.Milli, bool) {
	w.rotate(at)
	total := w.current.total + w.previous.total
	if total < minSamples {
		return 0, false
	}
	rank := q * float64(total)
	for i := range buckets {
		count := float64(w.current.counts[i] + w.previous.counts[i])
		if count > 0 && count >= rank {
			return latencyAt(float64(i) + rank/count), true
		}
		rank -= count
	}

	return latencyAt(buckets), true
}

// rotate starts a new histogram when the current span is over.
func (w *Window) rotate(at clock.Milli) {
	age := at - w.start
	if age < w.span {
		return
	}
	w.previous = w.current
	if age >= 2*w.span {
		w.previous = histogram{}
	}
	w.current = histogram{}
	w.start = at
}

func bucketIndex(sample clock.Milli) int {
	if sample <= lowest {
		return 0
	}
	i := int(math.Log2(float64(sample/lowest)) * perOctave)

	return min(i, buckets-1)
}

// latencyAt returns the latency at a position in buckets, which may be a fraction.
func latencyAt(position float64) clock.Milli {
	return lowest * clock.Milli(math.Exp2(position/perOctave))
}
