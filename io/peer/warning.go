package peer

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/quarantine"
)

// recall gives up on a leg for an upstream.
type recall struct {
	ID       uint64 `cbor:"id"`
	Upstream string `cbor:"upstream"`
}

// warning is what a daemon knows of a request tied to crashes.
type warning struct {
	Print   uint64   `cbor:"print"`
	Crashes []uint64 `cbor:"crashes"`
	// Left is the time that it still holds, so that clocks need not agree.
	Left clock.Milli `cbor:"left"`
}

// Warn tells the other daemon of a request tied to crashes.
func (l *Link) Warn(e quarantine.Warning) {
	m := warning{Print: uint64(e.Fingerprint), Crashes: e.Crashes, Left: e.Remaining}
	l.add(func(f *frame) { f.Warnings = append(f.Warnings, m) })
}

func (m warning) entry() quarantine.Warning {
	return quarantine.Warning{Fingerprint: quarantine.Fingerprint(m.Print), Crashes: m.Crashes, Remaining: m.Left}
}
