package gather

import (
	"bytes"
	"slices"
)

// RecordSize is the size of a record in bytes.
const RecordSize = 16

type record [RecordSize]byte

// Top returns the greatest records of all parts, compared byte by byte, the greatest first and at
// most limit of them. Equal records all count. Bytes after a part's last whole record are left out.
func Top(parts [][]byte, limit int) []byte {
	if limit <= 0 {
		return nil
	}
	best := make([]record, 0, 2*limit)
	// Once limit records are sorted, none below the last of them counts.
	sorted := false
	for _, part := range parts {
		for ; len(part) >= RecordSize; part = part[RecordSize:] {
			r := record(part)
			if sorted && descending(best[limit-1], r) <= 0 {
				continue
			}
			best = append(best, r)
			if len(best) == 2*limit {
				best = greatest(best, limit)
				sorted = true
			}
		}
	}
	best = greatest(best, limit)
	out := make([]byte, 0, len(best)*RecordSize)
	for i := range best {
		out = append(out, best[i][:]...)
	}

	return out
}

// greatest sorts list and keeps at most limit of it.
func greatest(list []record, limit int) []record {
	slices.SortFunc(list, descending)

	return list[:min(len(list), limit)]
}

func descending(a, b record) int { return bytes.Compare(b[:], a[:]) }
