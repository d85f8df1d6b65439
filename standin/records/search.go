package records

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"

	"jacinthferry/core/leg"
)

// QueryTexts returns n search texts for a service, each from the title and place of a random record, or nil if the
// service has no records. The same seed gives the same texts.
func QueryTexts(all []Record, service string, n int, seed uint64) []string {
	random := rand.New(rand.NewPCG(seed, 1))
	var candidates []Record
	for _, r := range all {
		if r.Service == service {
			candidates = append(candidates, r)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	var list []string
	for range n {
		r := candidates[random.IntN(len(candidates))]
		place, _, _ := strings.Cut(r.Place, ",")
		list = append(list, r.Title+" "+place)
	}

	return list
}

// Search returns the documents of a service that match a text, the top best ones first, as a complete answer
// has them. The score of a document is the number of occurrences of the words in it, regardless of case.
func Search(all []Record, service, text string, top int) []leg.Document {
	words := strings.Fields(strings.ToLower(text))
	var list []leg.Document
	for i := range all {
		r := &all[i]
		if r.Service != service {
			continue
		}
		if score := r.score(words); score > 0 {
			list = append(list, leg.Document{ID: r.ID, Score: score, Body: r.Text()})
		}
	}
	slices.SortFunc(list, func(a, b leg.Document) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})

	return list[:min(len(list), top)]
}
