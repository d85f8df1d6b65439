package schema

import (
	"encoding/json"
	"reflect"
	"strconv"

	"github.com/pkg/errors"

	"jacinthferry/core/fault"
)

// numberConverter converts the numbers of a document to int64 or float64 in place. It reports a number
// that fits neither as a fault, because the schema library would compute all of its digits, which can
// take arbitrarily long.
type numberConverter struct {
	document any
	// steps is the path to the value that is being converted.
	steps  []string
	faults []fault.Fault
}

func (c *numberConverter) convert(v any) any {
	switch v := v.(type) {
	case json.Number:
		return c.convertNumber(v)
	case []any:
		for i, e := range v {
			v[i] = c.convertChild(strconv.Itoa(i), e)
		}
	case object:
		for field, e := range v {
			v[field] = c.convertChild(field, e)
		}
	}

	return v
}

func (c *numberConverter) convertChild(step string, v any) any {
	c.steps = append(c.steps, step)
	v = c.convert(v)
	c.steps = c.steps[:len(c.steps)-1]

	return v
}

func (c *numberConverter) convertNumber(text json.Number) any {
	if n, err := text.Int64(); err == nil {
		return n
	}
	n, err := text.Float64()
	if err != nil {
		path := formatPath(c.document, c.steps)
		c.faults = append(c.faults, fault.New(path, "is %s, want a number that fits 64 bits", truncate(text)))
	}

	return n
}

// maxNumberBytes is the length up to which a fault shows a number.
const maxNumberBytes = 32

func truncate(n json.Number) string {
	if len(n) <= maxNumberBytes {
		return n.String()
	}

	return n.String()[:maxNumberBytes] + "..."
}

// TypeFault converts an error of encoding/json to a fault. It reports whether err is a type error.
func TypeFault(err error) (fault.Fault, bool) {
	var typeErr *json.UnmarshalTypeError
	if !errors.As(err, &typeErr) {
		return fault.Fault{}, false
	}
	want := typeErr.Type.String()
	if typeErr.Type.Kind() == reflect.Int || typeErr.Type.Kind() == reflect.Int64 {
		want = "a whole number without point or exponent"
	}

	return fault.New(typeErr.Field, "is %s, want %s", typeErr.Value, want), true
}
