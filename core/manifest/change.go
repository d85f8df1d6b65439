package manifest

import "github.com/pkg/errors"

// Change is the difference between a revision and a later one. Daemons send it to each other.
type Change struct {
	// From is the revision that the receiver has, or 0 when the change is the whole revision.
	From int64
	To   int64
	// Head is the text of the later revision's head without its parts, recent changes and pages.
	Head string
	// Gone names the parts that the later revision removes, and New has those that it adds.
	Gone []string
	New  []Part
}

// Part is a part of a revision: its name and its text.
type Part struct {
	Name string
	Text string
}

// ErrBase is returned for a change that starts from a revision other than the receiver's.
var ErrBase = errors.New("manifest: change starts from another revision")

// Since returns the change from old, which may be nil, to s. It leaves out the history, because daemons read
// that from the store.
func (s *Snapshot) Since(old *Snapshot) (Change, error) {
	head := s.Head
	head.Recent, head.Parts, head.Pages = nil, nil, 0
	text, err := head.Encode()
	if err != nil {
		return Change{}, err
	}
	c := Change{From: old.Revision(), To: s.Revision(), Head: text}
	for _, name := range s.Head.Parts {
		if old.Part(name) == "" {
			c.New = append(c.New, Part{Name: name, Text: s.parts[name]})
		}
	}
	if old == nil {
		return c, nil
	}
	for _, name := range old.Head.Parts {
		if s.Part(name) == "" {
			c.Gone = append(c.Gone, name)
		}
	}

	return c, nil
}

// Apply applies the change to old, which may be nil, and returns the later snapshot; old stays as it is. The
// error wraps ErrBase if the change starts from another revision, and ErrManifest if its content is invalid.
func (c Change) Apply(old *Snapshot) (*Snapshot, error) {
	if c.From != 0 && c.From != old.Revision() {
		return nil, errors.Wrapf(ErrBase, "have revision %d, change starts from %d", old.Revision(), c.From)
	}
	head, err := DecodeHead(c.Head, c.To)
	if err != nil {
		return nil, err
	}
	texts := make(map[string]string, len(c.New))
	removed := make(map[string]bool, len(c.Gone))
	for _, name := range c.Gone {
		removed[name] = true
	}
	head.Parts = nil
	if c.From != 0 {
		for _, name := range old.Head.Parts {
			if !removed[name] {
				head.Parts = append(head.Parts, name)
				texts[name] = old.parts[name]
			}
		}
	}
	for _, p := range c.New {
		if _, had := texts[p.Name]; !had {
			head.Parts = append(head.Parts, p.Name)
		}
		texts[p.Name] = p.Text
	}

	return Join(head, func(name string) string { return texts[name] }, old)
}
