package platform

import "maps"

// Copy is a copy of the entries, the leases and the revision of a Store. The zero value is that of an empty store.
type Copy struct {
	revision int64
	items    map[string]item
	leases   map[string]lease
}

// Copy returns a copy of what the store holds now.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()

	return Copy{revision: s.revision, items: maps.Clone(s.items), leases: maps.Clone(s.leases)}
}

// Restore replaces what the store holds by a copy. Later writes and leases are lost, the revision goes back, and the
// generation rises by one.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = c.revision
	clear(s.items)
	clear(s.leases)
	clear(s.deleted)
	maps.Copy(s.items, c.items)
	maps.Copy(s.leases, c.leases)
	s.generation++
	s.notifyWatches()
}

// currentGeneration returns how often the store was restored.
func (s *Store) currentGeneration() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.generation
}
