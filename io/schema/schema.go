package schema

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"

	"jacinthferry/core/fault"
)

// ErrInvalidDocument is returned for a document that is not valid JSON.
var ErrInvalidDocument = errors.New("schema: not valid JSON")

// Schema is the compiled JSON Schema of a Go type. It is safe for concurrent use.
type Schema struct {
	text     []byte
	raw      any
	compiled *jsonschema.Schema
}

// schemaURL is the URL under which a schema is compiled; nothing is loaded from it.
const schemaURL = "memory:///schema.json"

// For returns the schema of documents that decode into the type of v. Objects may have no other fields
// than the struct has.
func For(title string, v any) (*Schema, error) {
	source, err := marshal(title, v)
	if err != nil {
		return nil, err
	}
	raw, err := jsonschema.UnmarshalJSON(bytes.NewReader(source))
	if err != nil {
		return nil, errors.Wrap(err, "schema: derived schema is invalid")
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaURL, raw); err != nil {
		return nil, errors.Wrap(err, "schema: derived schema is invalid")
	}
	compiled, err := compiler.Compile(schemaURL)
	if err != nil {
		return nil, errors.Wrap(err, "schema: derived schema is invalid")
	}

	return &Schema{text: source, raw: raw, compiled: compiled}, nil
}

// Text returns the schema as indented JSON.
func (s *Schema) Text() []byte { return slices.Clone(s.text) }

// Check returns the numbers in a document that do not fit 64 bits, or else all violations of the schema,
// sorted. The error wraps [ErrDocument] if the document is not valid JSON.
func (s *Schema) Check(document []byte) ([]fault.Fault, error) {
	v, err := jsonschema.UnmarshalJSON(bytes.NewReader(document))
	if err != nil {
		return nil, errors.Wrapf(ErrInvalidDocument, "%v", err)
	}
	c := &numberConverter{document: v}
	if v = c.convert(v); len(c.faults) > 0 {
		return c.faults, nil
	}
	err = s.compiled.Validate(v)
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return nil, errors.Wrap(err, "schema: cannot validate the document")
	}
	var faults []fault.Fault
	s.collectFaults(v, invalid, &faults)
	slices.SortFunc(faults, func(a, b fault.Fault) int { return strings.Compare(a.String(), b.String()) })

	return faults, nil
}

// collectFaults adds the faults in the leaves of e to faults.
func (s *Schema) collectFaults(document any, e *jsonschema.ValidationError, faults *[]fault.Fault) {
	for _, cause := range e.Causes {
		s.collectFaults(document, cause, faults)
	}
	if len(e.Causes) > 0 {
		return
	}
	path := formatPath(document, e.InstanceLocation)
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, field := range k.Properties {
			*faults = append(*faults, fault.New(joinPath(path, field), "is not a field, want one of %s",
				s.propertyNames(e.SchemaURL)))
		}
	case *kind.Type:
		*faults = append(*faults, fault.New(path, "is of type %s, want %s", k.Got, k.Want[0]))
	case *kind.Pattern:
		*faults = append(*faults, fault.New(path, `is %q, want a number and a unit such as "69ms"`, k.Got))
	case *kind.Minimum:
		*faults = append(*faults, fault.New(path, "is below 0, want 0 or more"))
	default:
		*faults = append(*faults, fault.New(path, "%s", e.Error()))
	}
}

// propertyNames returns the sorted names of the properties of the object schema at url, separated by
// commas.
func (s *Schema) propertyNames(url string) string {
	_, pointer, _ := strings.Cut(url, "#")
	node := s.raw
	for _, step := range strings.Split(strings.Trim(pointer, "/"), "/") {
		if step == "" {
			continue
		}
		o, _ := node.(object)
		node = o[step]
	}
	o, _ := node.(object)
	properties, _ := o["properties"].(object)
	names := make([]string, 0, len(properties))
	for name := range properties {
		names = append(names, name)
	}
	slices.Sort(names)

	return strings.Join(names, ", ")
}

// formatPath formats the path to a value in document, such as "services[posters].versions[0]". It shows
// elements of a list by their name if they have one, and otherwise by their index.
func formatPath(document any, steps []string) string {
	path, node := "", document
	for _, step := range steps {
		switch v := node.(type) {
		case []any:
			i, err := strconv.Atoi(step)
			if err != nil || i >= len(v) {
				return path
			}
			node = v[i]
			if name := elementName(node); name != "" {
				step = name
			}
			path = fmt.Sprintf("%s[%s]", path, step)
		case map[string]any:
			node = v[step]
			path = joinPath(path, step)
		}
	}

	return path
}

func elementName(element any) string {
	o, _ := element.(object)
	name, _ := o["name"].(string)

	return name
}

func joinPath(path, field string) string {
	if path == "" {
		return field
	}

	return path + "." + field
}
