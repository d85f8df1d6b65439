package peer

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/quarantine"
)

// cancellation cancels a leg for an upstream.
type cancellation struct {
	ID       uint64 `cbor:"id"`
	Upstream string `cbor:"upstream"`
}

// quarantineWarning describes a request that is associated with crashes.
type quarantineWarning struct {
	Fingerprint uint64   `cbor:"print"`
	Crashes     []uint64 `cbor:"crashes"`
	// Remaining is how long the warning stays valid. It is relative because the clocks of two daemons may differ.
	Remaining clock.Milli `cbor:"left"`
}

// Warn tells the remote daemon of a request that is associated with crashes.
func (l *Link) Warn(e quarantine.Warning) {
	m := quarantineWarning{Fingerprint: uint64(e.Fingerprint), Crashes: e.Crashes, Remaining: e.Remaining}
	l.enqueue(func(msg *message) { msg.Warnings = append(msg.Warnings, m) })
}

func (m quarantineWarning) warning() quarantine.Warning {
	return quarantine.Warning{
		Fingerprint: quarantine.Fingerprint(m.Fingerprint), Crashes: m.Crashes, Remaining: m.Remaining,
	}
}
