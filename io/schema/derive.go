package schema

import (
	"encoding/json"
	"reflect"
	"strings"

	"github.com/pkg/errors"

	"jacinthferry/core/clock"
)

// draft identifies the JSON Schema dialect of the schemas.
const draft = "https://json-schema.org/draft/2020-12/schema"

// durationPattern matches a duration such as "69ms" or "1m30s".
const durationPattern = `^([0-9]+(\.[0-9]+)?(ns|us|µs|ms|s|m|h))+$`

// typeKeyword is the schema keyword for the type of a value.
const typeKeyword = "type"

// object is a JSON object.
type object = map[string]any

// derive returns the schema of a type. The schema of an unsupported kind matches any value.
func derive(t reflect.Type) object {
	if t == reflect.TypeFor[clock.Milli]() {
		return object{typeKeyword: "string", "pattern": durationPattern}
	}
	switch t.Kind() {
	case reflect.Pointer:
		return derive(t.Elem())
	case reflect.Struct:
		return deriveStruct(t)
	case reflect.Slice:
		return object{typeKeyword: []any{"array", "null"}, "items": derive(t.Elem())}
	case reflect.Map:
		return object{typeKeyword: "object", "additionalProperties": derive(t.Elem())}
	case reflect.String:
		return object{typeKeyword: "string"}
	case reflect.Bool:
		return object{typeKeyword: "boolean"}
	case reflect.Float64, reflect.Float32:
		return object{typeKeyword: "number"}
	case reflect.Uint, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return object{typeKeyword: "integer", "minimum": json.Number("0")}
	case reflect.Int, reflect.Int16, reflect.Int32, reflect.Int64:
		return object{typeKeyword: "integer"}
	default:
		return object{}
	}
}

func deriveStruct(t reflect.Type) object {
	properties := object{}
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if !f.IsExported() || name == "" || name == "-" {
			continue
		}
		properties[name] = derive(f.Type)
	}

	return object{typeKeyword: "object", "properties": properties, "additionalProperties": false}
}

// marshal returns the schema of the type of v as indented JSON.
func marshal(title string, v any) ([]byte, error) {
	document := derive(reflect.TypeOf(v))
	document["$schema"] = draft
	document["title"] = title
	text, err := json.MarshalIndent(document, "", "  ")

	return append(text, '\n'), errors.Wrap(err, "schema: cannot encode the schema")
}
