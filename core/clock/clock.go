package clock

import (
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// ErrSpan is the error for a text that is not a span such as "69ms" or "1.5s".
var ErrSpan = errors.New("clock: invalid span")

// Milli is an instant, counted from the Unix epoch, or a span between two instants, in milliseconds.
// It keeps fractions because many latencies are below one millisecond.
type Milli float64

// Common spans.
const (
	Millisecond Milli = 1
	Second      Milli = 1000 * Millisecond
	Minute      Milli = 60 * Second
	Hour        Milli = 60 * Minute
)

// FromDuration returns the span of a time.Duration.
func FromDuration(d time.Duration) Milli {
	return Milli(float64(d) / float64(time.Millisecond))
}

// FromTime returns the instant of a time.Time, truncated to microseconds.
func FromTime(t time.Time) Milli {
	return Milli(float64(t.UnixMicro()) / 1000)
}

// Duration returns the span m as a time.Duration.
func (m Milli) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Time returns the instant m in UTC, truncated to microseconds.
func (m Milli) Time() time.Time {
	return time.UnixMicro(int64(float64(m) * 1000)).UTC()
}

// String returns the span m in milliseconds with its unit, such as "69ms".
func (m Milli) String() string {
	return strconv.FormatFloat(float64(m), 'f', -1, 64) + "ms"
}

// MarshalText encodes the span m in the form of String. It never returns an error.
func (m Milli) MarshalText() ([]byte, error) {
	return []byte(m.String()), nil
}

// UnmarshalText decodes a span such as "69ms", "1.5s" or "2m". It returns an error that wraps
// ErrSpan for anything else.
func (m *Milli) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrapf(ErrSpan, "%q, want a number and a unit such as \"69ms\"", text)
	}
	*m = FromDuration(d)

	return nil
}
