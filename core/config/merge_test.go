package config_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"jacinthferry/core/config"
)

var _ = Describe("Merge", func() {
	for _, t := range []struct{ rule, base, overlay, want string }{
		{"objects merge field by field", `{"a":{"x":1,"y":2}}`, `{"a":{"y":3,"z":4}}`, `{"a":{"x":1,"y":3,"z":4}}`},
		{"null removes a field", `{"a":1,"b":2}`, `{"a":null}`, `{"b":2}`},
		{
			"named elements merge by name and keep the order of the base",
			`{"l":[{"name":"p","v":1},{"name":"q","v":2}]}`, `{"l":[{"name":"r"},{"name":"p","v":9}]}`,
			`{"l":[{"name":"p","v":9},{"name":"q","v":2},{"name":"r"}]}`,
		},
		{
			"an element is removed by name", `{"l":[{"name":"p"},{"name":"q"}]}`,
			`{"l":[{"name":"p","remove":true},{"name":"absent","remove":true}]}`, `{"l":[{"name":"q"}]}`,
		},
		{"other lists are replaced", `{"l":[1,2]}`, `{"l":[3]}`, `{"l":[3]}`},
		{"an empty list replaces", `{"l":[{"name":"p"}]}`, `{"l":[]}`, `{"l":[]}`},
		{"large numbers are kept as written", `{"n":12345678901234567890}`, `{}`, `{"n":12345678901234567890}`},
	} {
		It(t.rule, func() {
			merged, err := config.Merge([]byte(t.base), []byte(t.overlay))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(merged)).To(Equal(t.want))
		})
	}

	It("refuses a name that occurs more than once", func() {
		_, err := config.Merge([]byte(`{}`), []byte(`{"zones":[{"name":"a"},{"name":"a"}]}`))
		Expect(err).To(MatchError(`overlay: zones[a]: name "a" occurs more than once, want it once: config: cannot merge`))
		Expect(err).To(MatchError(config.ErrMerge))
	})
})

// document draws a JSON text with few names, so that base and overlay often share some.
func document(t *rapid.T, label string) []byte {
	text, err := json.Marshal(value(t, label, 3))
	if err != nil {
		t.Fatal(err)
	}

	return text
}

func value(t *rapid.T, label string, depth int) any {
	sort := rapid.IntRange(0, 6).Draw(t, label)
	if depth == 0 {
		sort %= 4
	}
	switch sort {
	case 0:
		return nil
	case 1:
		return rapid.IntRange(0, 3).Draw(t, label)
	case 2:
		return rapid.SampledFrom([]string{"x", "y"}).Draw(t, label)
	case 3:
		return rapid.Bool().Draw(t, label)
	case 4:
		list := []any{}
		for range rapid.IntRange(0, 3).Draw(t, label) {
			list = append(list, value(t, label, depth-1))
		}

		return list
	case 5:
		list := []any{}
		for i := range rapid.IntRange(0, 3).Draw(t, label) {
			object := map[string]any{"name": fmt.Sprint(i), "v": value(t, label, depth-1)}
			if rapid.Bool().Draw(t, label) {
				object["remove"] = true
			}
			list = append(list, object)
		}

		return list
	default:
		object := map[string]any{}
		for _, field := range rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "name"}), 0, 3).Draw(t, label) {
			object[field] = value(t, label, depth-1)
		}

		return object
	}
}

func TestMergeAgainChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, overlay := document(t, "base"), document(t, "overlay")
		once, err := config.Merge(base, overlay)
		if err != nil {
			return
		}
		twice, err := config.Merge(once, overlay)
		if err != nil || !bytes.Equal(once, twice) {
			t.Fatalf("base %s, overlay %s: merged once %s, twice %s, error %v", base, overlay, once, twice, err)
		}
	})
}

func TestMergeKeepsTheOrderOfTheBase(t *testing.T) {
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}), 1, 6, rapid.ID)
	rapid.Check(t, func(t *rapid.T) {
		base, overlay := names.Draw(t, "base"), names.Draw(t, "overlay")
		merged, err := config.Merge(encodeNamed(base), encodeNamed(overlay))
		if err != nil {
			t.Fatal(err)
		}
		want := base
		known := map[string]bool{}
		for _, n := range base {
			known[n] = true
		}
		for _, n := range overlay {
			if !known[n] {
				want = append(want, n)
			}
		}
		if !bytes.Equal(merged, encodeNamed(want)) {
			t.Fatalf("base %v, overlay %v: merged %s", base, overlay, merged)
		}
	})
}

func encodeNamed(names []string) []byte {
	list := make([]map[string]string, 0, len(names))
	for _, n := range names {
		list = append(list, map[string]string{"name": n})
	}
	text, _ := json.Marshal(list)

	return text
}

func FuzzMerge(f *testing.F) {
	f.Add([]byte(`{"zones":[{"name":"a"}]}`), []byte(`{"zones":[{"name":"a","remove":true}]}`))
	f.Add([]byte(`[]`), []byte(`{"`))
	f.Fuzz(func(t *testing.T, base, overlay []byte) {
		once, err := config.Merge(base, overlay)
		if err != nil {
			return
		}
		if twice, err := config.Merge(once, overlay); err != nil || !bytes.Equal(once, twice) {
			t.Fatalf("merged once %s, twice %s, error %v", once, twice, err)
		}
	})
}
