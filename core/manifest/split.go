package manifest

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"jacinthferry/core/config"
)

// splitService divides a service into pieces of at most upstreamsPerPart upstreams on average. An upstream
// stays in its piece when others are added or removed, unless the number of pieces doubles or halves, which
// is rare.
func splitService(s config.Service) []config.Service {
	total := 0
	for _, v := range s.Versions {
		total += len(v.Upstreams)
	}
	count := 1
	for count*upstreamsPerPart < total {
		count *= 2
	}
	if count == 1 {
		return []config.Service{s}
	}
	pieces := make([]config.Service, count)
	for i := range pieces {
		pieces[i] = s
		pieces[i].Versions = slices.Clone(s.Versions)
		for k := range pieces[i].Versions {
			pieces[i].Versions[k].Upstreams = nil
		}
	}
	for k, v := range s.Versions {
		for _, u := range v.Upstreams {
			p := &pieces[xxhash.Sum64String(u.Name)%uint64(count)].Versions[k]
			p.Upstreams = append(p.Upstreams, u)
		}
	}

	return pieces
}

// mergeService merges the pieces of a service.
func mergeService(pieces []config.Service) config.Service {
	s := pieces[0]
	if len(pieces) == 1 {
		return s
	}
	s.Versions = nil
	for _, piece := range pieces {
		for _, v := range piece.Versions {
			i := slices.IndexFunc(s.Versions, func(w config.Version) bool { return w.Name == v.Name })
			if i < 0 {
				i = len(s.Versions)
				s.Versions = append(s.Versions, v)
				s.Versions[i].Upstreams = make([]config.Upstream, 0, len(pieces)*upstreamsPerPart)
			}
			s.Versions[i].Upstreams = append(s.Versions[i].Upstreams, v.Upstreams...)
		}
	}

	return s
}
