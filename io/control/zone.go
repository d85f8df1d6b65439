package control

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"jacinthferry/core/config"
	"jacinthferry/core/reason"
	"jacinthferry/core/route"
)

// maxLoadShare is the share of the remaining slots that running legs may occupy when a zone is taken
// out of service.
const maxLoadShare = 0.8

// SetZone takes a zone out of service or back in. If the remaining capacity is too small for the
// current load, it refuses with reason.Zone and the figures. The error is a *reason.Refusal.
func (c *Control) SetZone(ctx context.Context, zone string, out bool, o ApplyOptions) (Applied, error) {
	var running map[string]float64
	var daemons []DaemonStatus
	if out && !o.Force {
		status := c.Status(ctx)
		running, daemons = status.RunningLegs, status.Daemons
	}

	return c.applyEdit(ctx, o, func(old config.Config) (config.Config, error) {
		next := old.WithZoneOut(zone, out)
		if !hasZone(old, zone) {
			return old, reason.NewRefusal(reason.Invalid, reason.NotExecuted, "no zone named "+zone)
		}
		if !out || o.Force {
			return next, nil
		}
		if short := missingCapacity(next, c.latestTable.Load(), running, daemons); short != "" {
			return old, reason.NewRefusal(
				reason.Zone, reason.NotExecuted, "the remaining capacity is too small for the load: "+short,
			)
		}

		return next, nil
	})
}

func hasZone(c config.Config, zone string) bool {
	for _, z := range c.Zones {
		if z.Name == zone {
			return true
		}
	}

	return false
}

// missingCapacity describes where c has too little capacity for the running legs. It returns "" if there is
// enough.
func missingCapacity(c config.Config, t *route.Table, running map[string]float64, daemons []DaemonStatus) string {
	var short []string
	left := 0
	for _, d := range daemons {
		if d.State == "alive" && !c.ZoneOut(d.Zone) {
			left++
		}
	}
	if left == 0 {
		short = append(short, "no live daemon would remain in service")
	}
	for _, s := range c.Services {
		slots, total := 0, 0
		for _, v := range s.Versions {
			for _, u := range v.Upstreams {
				total += u.Slots
				if !c.ZoneOut(u.Zone) && !u.Drain {
					slots += u.Slots
				}
			}
		}
		if total > 0 && running[s.Name] >= maxLoadShare*float64(slots) {
			short = append(short, fmt.Sprintf("service %s: %d of %d slots left, %.1f in use, want at most %.0f%%",
				s.Name, slots, total, running[s.Name], 100*maxLoadShare))
		}
		if lost := uncoveredShards(c, t, s.Name); lost > 0 {
			short = append(short, fmt.Sprintf("service %s: %d shards would have no replica left", s.Name, lost))
		}
	}

	return strings.Join(short, "; ")
}

// uncoveredShards returns how many shards of the best snapshots have replicas, but none in a zone that
// is in service in c.
func uncoveredShards(c config.Config, t *route.Table, service string) int {
	if t == nil {
		return 0
	}
	lost := 0
	known, _ := t.Service(service)
	for _, v := range known.Versions {
		if len(v.Snapshots) == 0 || v.Share == 0 {
			continue
		}
		for _, replicas := range v.Snapshots[0].Shards {
			inService := func(r route.Replica) bool { return !c.ZoneOut(r.Zone) }
			if len(replicas) > 0 && !slices.ContainsFunc(replicas, inService) {
				lost++
			}
		}
	}

	return lost
}
