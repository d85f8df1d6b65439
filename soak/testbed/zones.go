package testbed

import (
	"context"

	"jacinthferry/core/clock"
	"jacinthferry/io/store"
	"jacinthferry/platform"
	"jacinthferry/soak/check"
)

// evacuateZone takes an availability zone out of service and returns it to service later. While several steps
// take out the same zone, only the end of the last one returns it.
func (tb *Testbed) evacuateZone(ctx context.Context, s Step) error {
	name := zoneName(s.Target)
	if err := tb.removeZone(ctx, name); err != nil {
		return err
	}
	defer tb.recordUpstreamDisturbance(s.Kind, tb.now())
	tb.sleep(ctx, tb.history.Bounds.Evacuate+s.Duration)

	return tb.returnZone(ctx, name)
}

// zoneRemoval is an availability zone out of service.
type zoneRemoval struct {
	at clock.Milli
	// steps is the number of steps that have taken the zone out and not ended yet.
	steps int
}

// removeZone takes a zone out of service unless it already is.
func (tb *Testbed) removeZone(ctx context.Context, name string) error {
	tb.zonesMu.Lock()
	defer tb.zonesMu.Unlock()
	removal := tb.removedZones[name]
	if removal == nil {
		if _, err := tb.store.Put(ctx, platform.EvacuationKey(name), "{}", store.Any, ""); err != nil {
			return err //nolint:wrapcheck // It is a refusal of the store.
		}
		removal = &zoneRemoval{at: tb.now()}
		tb.removedZones[name] = removal
	}
	removal.steps++

	return nil
}

// returnZone returns a zone to service unless another step still takes it out.
func (tb *Testbed) returnZone(ctx context.Context, name string) error {
	tb.zonesMu.Lock()
	defer tb.zonesMu.Unlock()
	removal := tb.removedZones[name]
	if removal.steps--; removal.steps > 0 {
		return nil
	}
	delete(tb.removedZones, name)
	tb.record(func(h *check.History) {
		h.Removals = append(h.Removals, check.Removal{Zone: name, At: removal.at, Until: tb.now()})
	})
	_, err := tb.store.Delete(ctx, platform.EvacuationKey(name), store.Any)

	return err //nolint:wrapcheck // It is a refusal of the store.
}
