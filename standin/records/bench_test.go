package records_test

import (
	"testing"

	"jacinthferry/standin/records"
)

func BenchmarkSearch(b *testing.B) {
	all, err := records.Load()
	if err != nil {
		b.Fatal(err)
	}
	var shard []records.Record
	for _, r := range all {
		if r.Service == records.Markers && records.ShardOf(r.ID, 50) == 0 {
			shard = append(shard, r)
		}
	}
	for b.Loop() {
		records.Search(shard, records.Markers, "Cairn 41 Nettle Gorge", 10)
	}
}
