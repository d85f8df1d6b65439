package gather

import (
	"bytes"
	"slices"
)

// RecordSize is the size of a record in bytes.
const RecordSize = 16

type record [RecordSize]byte

// TopRecords returns the greatest records of all parts, compared byte by byte, in descending order and at most
// limit of them. Equal records are all kept. Bytes after a part's last whole record are ignored.
func TopRecords(parts [][]byte, limit int) []byte {
	if limit <= 0 {
		return nil
	}
	candidates := make([]record, 0, 2*limit)
	// Once limit records are sorted, a record that is not greater than the last of them can be ignored.
	sorted := false
	for _, part := range parts {
		for ; len(part) >= RecordSize; part = part[RecordSize:] {
			r := record(part)
			if sorted && descending(candidates[limit-1], r) <= 0 {
				continue
			}
			candidates = append(candidates, r)
			if len(candidates) == 2*limit {
				candidates = greatest(candidates, limit)
				sorted = true
			}
		}
	}
	candidates = greatest(candidates, limit)
	out := make([]byte, 0, len(candidates)*RecordSize)
	for i := range candidates {
		out = append(out, candidates[i][:]...)
	}

	return out
}

// greatest sorts list in descending order, in place, and returns at most its first limit records.
func greatest(list []record, limit int) []record {
	slices.SortFunc(list, descending)

	return list[:min(len(list), limit)]
}

func descending(a, b record) int { return bytes.Compare(b[:], a[:]) }
