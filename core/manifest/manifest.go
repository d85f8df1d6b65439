package manifest

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"jacinthferry/core/clock"
	"jacinthferry/core/config"
)

// ErrInvalid is returned for an invalid head, part or page of history.
var ErrInvalid = errors.New("manifest: invalid value")

// RevisionInfo describes a change of the configuration: who made it, when and why.
type RevisionInfo struct {
	// Revision is the store revision of the change. It is absent in a stored head, which cannot know its own.
	Revision int64 `json:"revision,omitempty"`
	// Nonce is random for each attempt, so that an attempt can be recognised after its response was lost.
	Nonce string      `json:"nonce"`
	Who   string      `json:"who,omitempty"`
	Note  string      `json:"note,omitempty"`
	At    clock.Milli `json:"at"`
}

// Head is the value that is overwritten to accept a revision.
type Head struct {
	RevisionInfo
	// BaseConfig is the configuration without its services, which are stored in the parts.
	BaseConfig config.Config `json:"base"`
	PartNames  []string      `json:"parts"`
	// RecentRevisions holds the changes before this one, newest first.
	RecentRevisions []RevisionInfo `json:"recent,omitempty"`
	// PageCount is the number of pages of older changes that were written.
	PageCount int `json:"pages,omitempty"`
}

// Snapshot is one revision of the configuration with all its parts.
type Snapshot struct {
	Head   Head
	Config config.Config
	parts  map[string]string
	// decoded has the decoded parts by name, so that the next revision need not decode them again.
	decoded map[string]config.Service
	// partsByService has the names of the parts that each service was merged from.
	partsByService map[string][]string
}

// HistoryPageSize is the number of changes in a page of history.
const HistoryPageSize = 32

// upstreamsPerPart is the maximum average number of upstreams in the parts of a service.
const upstreamsPerPart = 32

// nameSeparator separates the hash of a part's text from the nonce of the attempt that wrote the part.
const nameSeparator = "-"

// Revision returns the revision, or 0 for a nil Snapshot or one that the store has not accepted.
func (s *Snapshot) Revision() int64 {
	if s == nil {
		return 0
	}

	return s.Head.Revision
}

// PartText returns the text of a part, or "" if the snapshot has no part of that name.
func (s *Snapshot) PartText(name string) string {
	if s == nil {
		return ""
	}

	return s.parts[name]
}

// Next returns the snapshot of the configuration c that follows s, which may be nil. Parts whose content is
// in s already keep their names. The store assigns the revision of the result; see WithRevision.
func (s *Snapshot) Next(c config.Config, r RevisionInfo) (*Snapshot, error) {
	next := &Snapshot{Config: c, parts: make(map[string]string), decoded: make(map[string]config.Service)}
	next.Head.RevisionInfo, next.Head.BaseConfig = r, c
	next.Head.BaseConfig.Services = nil
	known := s.namesByHash()
	for _, service := range c.Services {
		for _, piece := range splitService(service) {
			text, err := json.Marshal(piece)
			if err != nil {
				return nil, errors.Wrap(ErrInvalid, err.Error())
			}
			hash := strconv.FormatUint(xxhash.Sum64(text), 36)
			name, ok := known[hash]
			if !ok || s.parts[name] != string(text) {
				name = hash + nameSeparator + r.Nonce
			}
			next.parts[name], next.decoded[name] = string(text), piece
			next.Head.PartNames = append(next.Head.PartNames, name)
		}
	}
	if s != nil {
		next.Head.RecentRevisions = append([]RevisionInfo{s.Head.RevisionInfo}, s.Head.RecentRevisions...)
		next.Head.PageCount = s.Head.PageCount
	}

	return next, nil
}

// namesByHash maps the hashes of the parts to their names.
func (s *Snapshot) namesByHash() map[string]string {
	known := make(map[string]string)
	if s == nil {
		return known
	}
	for _, name := range s.Head.PartNames {
		hash, _, _ := strings.Cut(name, nameSeparator)
		known[hash] = name
	}

	return known
}

// ExtractPage returns a snapshot without its oldest changes, and the page with these changes. The page is
// nil while there are fewer than two pages of changes.
func (s *Snapshot) ExtractPage() (*Snapshot, []RevisionInfo) {
	if len(s.Head.RecentRevisions) < 2*HistoryPageSize {
		return s, nil
	}
	cut := len(s.Head.RecentRevisions) - HistoryPageSize
	next := *s
	next.Head.RecentRevisions = s.Head.RecentRevisions[:cut:cut]
	next.Head.PageCount++

	return &next, s.Head.RecentRevisions[cut:]
}

// WithRevision returns a copy of s with the revision under which the store accepted it.
func (s *Snapshot) WithRevision(revision int64) *Snapshot {
	next := *s
	next.Head.Revision = revision

	return &next
}

// Encode returns the text of the head as JSON. It omits the revision, which the store assigns.
func (h Head) Encode() (string, error) {
	h.Revision = 0
	text, err := json.Marshal(h)

	return string(text), errors.Wrap(err, "manifest: cannot encode the head")
}

// DecodeHead parses the text of a head that is stored under the given revision. It returns an error that
// wraps ErrInvalid for text that is not valid JSON, a missing nonce or a revision that is not positive.
func DecodeHead(text string, revision int64) (Head, error) {
	var h Head
	if err := json.Unmarshal([]byte(text), &h); err != nil {
		return Head{}, errors.Wrap(ErrInvalid, err.Error())
	}
	if h.Nonce == "" || revision <= 0 {
		return Head{}, errors.Wrap(ErrInvalid, "head without a nonce or a positive revision")
	}
	h.Revision = revision

	return h, nil
}

// Join assembles a snapshot from a head and its parts, whose texts part returns by name. Parts that known has
// are taken from it; known may be nil. The error wraps ErrInvalid if a part is invalid.
func Join(h Head, part func(name string) string, known *Snapshot) (*Snapshot, error) {
	s := &Snapshot{
		Head: h, Config: h.BaseConfig, parts: make(map[string]string, len(h.PartNames)),
		decoded: make(map[string]config.Service, len(h.PartNames)),
	}
	byService, parts := make(map[string][]config.Service), make(map[string][]string)
	var order []string
	for _, name := range h.PartNames {
		piece, err := s.addPart(name, part, known)
		if err != nil {
			return nil, err
		}
		if byService[piece.Name] == nil {
			order = append(order, piece.Name)
		}
		byService[piece.Name] = append(byService[piece.Name], piece)
		parts[piece.Name] = append(parts[piece.Name], name)
	}
	s.Config.Services = make([]config.Service, 0, len(order))
	for _, name := range order {
		service, ok := known.reuseService(name, parts[name])
		if !ok {
			service = mergeService(byService[name])
		}
		s.Config.Services = append(s.Config.Services, service)
	}
	s.partsByService = parts

	return s, nil
}

// reuseService returns the service of s if s merged it from the same parts.
func (s *Snapshot) reuseService(service string, parts []string) (config.Service, bool) {
	if s == nil || !slices.Equal(s.partsByService[service], parts) {
		return config.Service{}, false
	}

	return s.Config.Service(service)
}

// addPart adds one part to s and returns it decoded.
func (s *Snapshot) addPart(name string, part func(string) string, known *Snapshot) (config.Service, error) {
	if known != nil {
		if piece, ok := known.decoded[name]; ok {
			s.parts[name], s.decoded[name] = known.parts[name], piece

			return piece, nil
		}
	}
	text := part(name)
	var piece config.Service
	if err := json.Unmarshal([]byte(text), &piece); err != nil {
		return piece, errors.Wrapf(ErrInvalid, "part %s: %v", name, err)
	}
	hash, _, _ := strings.Cut(name, nameSeparator)
	if hash != strconv.FormatUint(xxhash.Sum64String(text), 36) {
		return piece, errors.Wrapf(ErrInvalid, "part %s: content does not match the hash in its name", name)
	}
	s.parts[name], s.decoded[name] = text, piece

	return piece, nil
}
