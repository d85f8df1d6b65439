package query

import (
	"cmp"
	"container/heap"
	"slices"

	"jacinthferry/core/leg"
)

// hit is a document, its shard and its index in the heap.
type hit struct {
	document leg.Document
	shard    int
	index    int
}

// compare orders hits by descending score, then by document ID, then by shard, so that the order does
// not depend on the order of the answers.
func (h *hit) compare(o *hit) int {
	return cmp.Or(
		cmp.Compare(o.document.Score, h.document.Score), cmp.Compare(h.document.ID, o.document.ID),
		cmp.Compare(h.shard, o.shard),
	)
}

// merger keeps the limit best documents of all shards. A document that several shards return is kept
// once, with its best score.
type merger struct {
	limit int
	byID  map[string]*hit
	// worstFirst is a heap of the same hits with the worst one at its root.
	worstFirst hitHeap
}

func newMerger(top int) merger { return merger{limit: top} }

func (m *merger) add(shard int, documents []leg.Document) {
	if m.byID == nil && len(documents) > 0 {
		m.byID = make(map[string]*hit, m.limit)
	}
	for i := range documents {
		m.addHit(hit{document: documents[i], shard: shard})
	}
}

func (m *merger) addHit(h hit) {
	if known := m.byID[h.document.ID]; known != nil {
		if h.compare(known) < 0 {
			known.document, known.shard = h.document, h.shard
			heap.Fix(&m.worstFirst, known.index)
		}

		return
	}
	if len(m.worstFirst) < m.limit {
		kept := h
		m.byID[h.document.ID] = &kept
		heap.Push(&m.worstFirst, &kept)

		return
	}
	if m.limit == 0 || h.compare(m.worstFirst[0]) >= 0 {
		return
	}
	// Evict the worst hit. Another shard may still return its document with a better score, which is then
	// added again.
	worst := m.worstFirst[0]
	delete(m.byID, worst.document.ID)
	worst.document, worst.shard = h.document, h.shard
	m.byID[h.document.ID] = worst
	heap.Fix(&m.worstFirst, 0)
}

// documents returns the kept documents, best first.
func (m *merger) documents() []leg.Document {
	sorted := slices.Clone(m.worstFirst)
	slices.SortFunc(sorted, (*hit).compare)
	list := make([]leg.Document, 0, len(sorted))
	for _, h := range sorted {
		list = append(list, h.document)
	}

	return list
}

// hitHeap is a heap with the worst hit at its root.
type hitHeap []*hit

var _ heap.Interface = (*hitHeap)(nil)

func (h hitHeap) Len() int           { return len(h) }
func (h hitHeap) Less(i, j int) bool { return h[i].compare(h[j]) > 0 }
func (h hitHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *hitHeap) Push(x any) {
	added := x.(*hit)
	added.index = len(*h)
	*h = append(*h, added)
}

// Pop implements heap.Interface.
func (h *hitHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]

	return x
}
