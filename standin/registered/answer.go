package registered

import (
	"bytes"
	"crypto/sha256"
	"slices"
	"strconv"
	"strings"

	"jacinthferry/core/gather"
)

// recordsPerBody is the number of records in a response body.
const recordsPerBody = 6

// ResponseBody returns the response body of an upstream to the request with that ID: records derived from a hash of
// the arguments, so that a checker can compute them as well.
func ResponseBody(id, service, upstream string) []byte {
	body := make([]byte, 0, recordsPerBody*gather.RecordSize)
	for i := range recordsPerBody {
		sum := sha256.Sum256([]byte(strings.Join([]string{id, service, upstream, strconv.Itoa(i)}, "\n")))
		body = append(body, sum[:gather.RecordSize]...)
	}

	return body
}

// TopRecords returns the count greatest records of several response bodies, in descending order. It shares no code
// with the merging in the daemons, so that their responses can be checked against it.
func TopRecords(bodies [][]byte, count int) []byte {
	var all [][]byte
	for _, body := range bodies {
		for r := range slices.Chunk(body, gather.RecordSize) {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })

	return bytes.Join(all[:min(count, len(all))], nil)
}

// Stamp identifies the origin of a response: the request, and the service and upstream that ran it.
type Stamp struct {
	ID       string
	Service  string
	Upstream string
	// OK is false for an injected failure.
	OK bool
}

// stampFields is the number of slash-separated fields in the text of a Stamp.
const stampFields = 4

// String returns the text that is sent, which ParseStamp reads.
func (s Stamp) String() string {
	return strings.Join([]string{s.ID, s.Service, s.Upstream, strconv.FormatBool(s.OK)}, "/")
}

// ParseStamp parses the text of a Stamp. It reports false if the text is not valid.
func ParseStamp(text string) (Stamp, bool) {
	fields := strings.Split(text, "/")
	if len(fields) != stampFields {
		return Stamp{}, false
	}
	good, err := strconv.ParseBool(fields[3])

	return Stamp{ID: fields[0], Service: fields[1], Upstream: fields[2], OK: good}, err == nil
}
