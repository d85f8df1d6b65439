package fault

import (
	"fmt"
	"strings"
)

// Fault is one invalid value in a document.
type Fault struct {
	// Path is where the value is, such as "query.lanes" or "services[posters].versions[v1].share", or empty
	// for the whole document.
	Path string `json:"path"`
	// Problem says what is wrong and what would be valid.
	Problem string `json:"problem"`
}

// New returns a fault at path whose problem is formatted like fmt.Sprintf.
func New(path, format string, args ...any) Fault {
	return Fault{Path: path, Problem: fmt.Sprintf(format, args...)}
}

// String returns the path and the problem in one line.
func (f Fault) String() string {
	if f.Path == "" {
		return f.Problem
	}

	return f.Path + ": " + f.Problem
}

// Text returns the faults, one a line.
func Text(list []Fault) string {
	lines := make([]string, 0, len(list))
	for _, f := range list {
		lines = append(lines, f.String())
	}

	return strings.Join(lines, "\n")
}
