package config

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// ErrMerge is returned by Merge for a base and an overlay that cannot be merged.
var ErrMerge = errors.New("config: cannot merge")

// The fields that control how lists are merged.
const (
	nameField   = "name"
	removeField = "remove"
)

// Merge returns base with overlay applied to it; both are JSON texts. The rules are:
//
//   - Two objects merge field by field; a field whose overlay value is null is removed.
//   - Two lists of named objects merge by name. Elements keep the order of the base, new ones
//     follow in the order of the overlay, and one with "remove": true is removed.
//   - Anything else in the overlay replaces the value of the base.
//
// Applying the same overlay to the result again changes nothing.
func Merge(base, overlay []byte) ([]byte, error) {
	b, err := parse("base", base)
	if err != nil {
		return nil, err
	}
	o, err := parse("overlay", overlay)
	if err != nil {
		return nil, err
	}
	b, err = mergeValue("", nil, b)
	if err != nil {
		return nil, errors.Wrap(err, "base")
	}
	merged, err := mergeValue("", b, o)
	if err != nil {
		return nil, errors.Wrap(err, "overlay")
	}
	text, err := json.Marshal(merged)

	return text, errors.Wrap(err, "config: cannot encode")
}

// parse decodes one JSON value and keeps its numbers as written.
func parse(what string, text []byte) (any, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var v any
	if err := decoder.Decode(&v); err != nil {
		return nil, errors.Wrapf(ErrMerge, "%s is not valid JSON: %v", what, err)
	}
	if _, err := decoder.Token(); err != io.EOF { //nolint:errorlint // Token returns io.EOF itself.
		return nil, errors.Wrapf(ErrMerge, "%s has text after its JSON value", what)
	}

	return v, nil
}

// mergeValue returns base with overlay applied to it. A missing base is nil.
func mergeValue(path string, base, overlay any) (any, error) {
	switch o := overlay.(type) {
	case map[string]any:
		b, _ := base.(map[string]any)

		return mergeObject(path, b, o)
	case []any:
		if !allNamed(o) {
			return o, nil
		}
		b, _ := base.([]any)
		if !allNamed(b) {
			b = nil
		}

		return mergeList(path, b, o)
	default:
		return overlay, nil
	}
}

func mergeObject(path string, base, overlay map[string]any) (any, error) {
	merged := make(map[string]any, len(base)+len(overlay))
	for field, v := range base {
		merged[field] = v
	}
	for field, v := range overlay {
		if v == nil {
			delete(merged, field)

			continue
		}
		value, err := mergeValue(joinPath(path, field), base[field], v)
		if err != nil {
			return nil, err
		}
		merged[field] = value
	}

	return merged, nil
}

func mergeList(path string, base, overlay []any) (any, error) {
	index := make(map[string]int, len(base))
	merged := make([]any, 0, len(base)+len(overlay))
	for _, e := range base {
		index[elementName(e)] = len(merged)
		merged = append(merged, e)
	}
	seen := make(map[string]bool, len(overlay))
	removed := make(map[int]bool)
	for _, e := range overlay {
		name := elementName(e)
		itemPath := path + "[" + name + "]"
		if seen[name] {
			return nil, errors.Wrapf(ErrMerge, "%s: name %s occurs more than once, want it once", itemPath, strconv.Quote(name))
		}
		seen[name] = true
		i, exists := index[name]
		if isRemoval(e) {
			removed[i] = exists || removed[i]

			continue
		}
		var existing any
		if exists {
			existing = merged[i]
		}
		value, err := mergeValue(itemPath, existing, e)
		if err != nil {
			return nil, err
		}
		if exists {
			merged[i] = value
		} else {
			merged = append(merged, value)
		}
	}

	return dropRemoved(merged, removed), nil
}

func dropRemoved(list []any, removed map[int]bool) []any {
	kept := make([]any, 0, len(list))
	for i, e := range list {
		if !removed[i] {
			kept = append(kept, e)
		}
	}

	return kept
}

// allNamed reports whether a list is not empty and every element is an object with a name.
func allNamed(list []any) bool {
	for _, e := range list {
		object, _ := e.(map[string]any)
		if _, ok := object[nameField].(string); !ok {
			return false
		}
	}

	return len(list) > 0
}

func elementName(element any) string {
	object, _ := element.(map[string]any)
	name, _ := object[nameField].(string)

	return name
}

func isRemoval(element any) bool {
	object, _ := element.(map[string]any)
	flag, _ := object[removeField].(bool)

	return flag
}

func joinPath(path, field string) string {
	if path == "" {
		return field
	}

	return path + "." + field
}
