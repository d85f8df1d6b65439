package manifest

import "github.com/pkg/errors"

// Change is the difference between a revision and a later one. Daemons send it to each other.
type Change struct {
	// From is the revision that the receiver has, or 0 when the change is the whole revision.
	From int64
	To   int64
	// Head is the text of the later revision's head without its parts, recent changes and pages.
	Head string
	// RemovedParts names the parts that the later revision removes, and AddedParts has those that it adds.
	RemovedParts []string
	AddedParts   []Part
}

// Part is a part of a revision: its name and its text.
type Part struct {
	Name string
	Text string
}

// ErrWrongBase is returned for a change that starts from a revision other than the receiver's.
var ErrWrongBase = errors.New("manifest: change starts from another revision")

// Diff returns the change from old, which may be nil, to s. It leaves out the history, because daemons read
// that from the store.
func (s *Snapshot) Diff(old *Snapshot) (Change, error) {
	head := s.Head
	head.RecentRevisions, head.PartNames, head.PageCount = nil, nil, 0
	text, err := head.Encode()
	if err != nil {
		return Change{}, err
	}
	c := Change{From: old.Revision(), To: s.Revision(), Head: text}
	for _, name := range s.Head.PartNames {
		if old.PartText(name) == "" {
			c.AddedParts = append(c.AddedParts, Part{Name: name, Text: s.parts[name]})
		}
	}
	if old == nil {
		return c, nil
	}
	for _, name := range old.Head.PartNames {
		if s.PartText(name) == "" {
			c.RemovedParts = append(c.RemovedParts, name)
		}
	}

	return c, nil
}

// Apply applies the change to old, which may be nil, and returns the later snapshot; old stays as it is. The
// error wraps ErrWrongBase if the change starts from another revision, and ErrInvalid if its content is invalid.
func (c Change) Apply(old *Snapshot) (*Snapshot, error) {
	if c.From != 0 && c.From != old.Revision() {
		return nil, errors.Wrapf(ErrWrongBase, "have revision %d, change starts from %d", old.Revision(), c.From)
	}
	head, err := DecodeHead(c.Head, c.To)
	if err != nil {
		return nil, err
	}
	texts := make(map[string]string, len(c.AddedParts))
	removed := make(map[string]bool, len(c.RemovedParts))
	for _, name := range c.RemovedParts {
		removed[name] = true
	}
	head.PartNames = nil
	if c.From != 0 {
		for _, name := range old.Head.PartNames {
			if !removed[name] {
				head.PartNames = append(head.PartNames, name)
				texts[name] = old.parts[name]
			}
		}
	}
	for _, p := range c.AddedParts {
		if _, had := texts[p.Name]; !had {
			head.PartNames = append(head.PartNames, p.Name)
		}
		texts[p.Name] = p.Text
	}

	return Join(head, func(name string) string { return texts[name] }, old)
}
