package route

import (
	"cmp"
	"slices"
)

// Holding is the last known state of one upstream and the snapshots that it holds.
type Holding struct {
	Upstream    string
	Version     string
	Incarnation string
	Draining    bool
	Snapshots   []HeldSnapshot
	// Sequence orders the reports of the upstream: a higher one is newer.
	Sequence uint64
}

// HeldSnapshot is one snapshot as an upstream holds it.
type HeldSnapshot struct {
	Name string
	// Order is higher for a newer snapshot.
	Order uint64
	// Total is the number of shards of the whole snapshot.
	Total int
	// Shards are the numbers of the shards that this upstream holds.
	Shards []int
}

// Replica is an upstream that holds a shard, and the daemon that schedules it.
type Replica struct {
	Upstream string
	Zone     string
	Home     string
}

// Snapshot is one snapshot of a service version with the replicas of each shard.
type Snapshot struct {
	Name    string
	Order   uint64
	Version string
	// Shards has one entry per shard; an empty one has no live replica.
	Shards [][]Replica
}

// CoveredShards returns the number of shards with a live replica.
func (s Snapshot) CoveredShards() int {
	n := 0
	for _, replicas := range s.Shards {
		if len(replicas) > 0 {
			n++
		}
	}

	return n
}

// Version is one version of a service with its snapshots, best first: complete ones before incomplete
// ones, then newer ones before older ones. Share is relative to the other versions.
type Version struct {
	Name      string
	Share     float64
	Snapshots []Snapshot
}

// Service is one service with its versions.
type Service struct {
	Name string
	// Trusted is set if a request that was not seen before may run on all upstreams at once.
	Trusted  bool
	Versions []Version
}

// addReplica adds r to the shards that it holds, except those that are marked in covered.
func addReplica(
	snapshots map[string]*Snapshot, version string, h Holding, r Replica, covered map[string][]bool,
) {
	for _, held := range h.Snapshots {
		s := snapshots[held.Name]
		if s == nil {
			s = &Snapshot{
				Name: held.Name, Order: held.Order, Version: version, Shards: make([][]Replica, held.Total),
			}
			snapshots[held.Name] = s
		}
		for _, shard := range held.Shards {
			done := covered[held.Name]
			if shard >= 0 && shard < len(s.Shards) && (shard >= len(done) || !done[shard]) {
				s.Shards[shard] = append(s.Shards[shard], r)
			}
		}
	}
}

// sortSnapshots returns the snapshots, complete ones before incomplete ones, then newer before older.
func sortSnapshots(snapshots map[string]*Snapshot) []Snapshot {
	list := make([]Snapshot, 0, len(snapshots))
	for _, s := range snapshots {
		list = append(list, *s)
	}
	slices.SortFunc(list, func(a, b Snapshot) int {
		aComplete, bComplete := a.CoveredShards() == len(a.Shards), b.CoveredShards() == len(b.Shards)
		if aComplete != bComplete {
			if aComplete {
				return -1
			}

			return 1
		}

		return cmp.Or(cmp.Compare(b.Order, a.Order), cmp.Compare(a.Name, b.Name))
	})

	return list
}

// ChooseSnapshot returns the best snapshot of a version chosen at random in proportion to the shares, with point
// uniform in [0, 1). It returns false if no version with a share has a snapshot.
func (s Service) ChooseSnapshot(point float64) (Snapshot, bool) {
	total := 0.0
	for _, v := range s.Versions {
		if len(v.Snapshots) > 0 {
			total += v.Share
		}
	}
	target := point * total
	for _, v := range s.Versions {
		if len(v.Snapshots) == 0 || v.Share == 0 {
			continue
		}
		if target < v.Share {
			return v.Snapshots[0], true
		}
		target -= v.Share
	}

	return Snapshot{}, false
}
