package registered

import (
	"bytes"
	"crypto/sha256"
	"slices"
	"strconv"
	"strings"

	"jacinthferry/core/gather"
)

// records is how many records an answer has.
const records = 6

// Body returns the answer of an upstream to a request: records that depend on both.
func Body(id, service, upstream string) []byte {
	body := make([]byte, 0, records*gather.RecordSize)
	for i := range records {
		sum := sha256.Sum256([]byte(strings.Join([]string{id, service, upstream, strconv.Itoa(i)}, "\n")))
		body = append(body, sum[:gather.RecordSize]...)
	}

	return body
}

// Top returns the greatest records of several answers, falling. It is written apart from the daemons'
// way of merging, to check them by.
func Top(bodies [][]byte, count int) []byte {
	var all [][]byte
	for _, body := range bodies {
		for r := range slices.Chunk(body, gather.RecordSize) {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })

	return bytes.Join(all[:min(count, len(all))], nil)
}

// Stamp is the signature of an answer.
type Stamp struct {
	ID       string
	Service  string
	Upstream string
	Good     bool
}

// stampParts is how many parts a signature's text has.
const stampParts = 4

// String returns the signature as it is sent.
func (s Stamp) String() string {
	return strings.Join([]string{s.ID, s.Service, s.Upstream, strconv.FormatBool(s.Good)}, "/")
}

// ParseStamp reads a signature. It reports false when the text is none.
func ParseStamp(text string) (Stamp, bool) {
	parts := strings.Split(text, "/")
	if len(parts) != stampParts {
		return Stamp{}, false
	}
	good, err := strconv.ParseBool(parts[3])

	return Stamp{ID: parts[0], Service: parts[1], Upstream: parts[2], Good: good}, err == nil
}
