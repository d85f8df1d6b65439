package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// table writes rows with aligned columns.
type table struct{ w *tabwriter.Writer }

func newTable(w io.Writer, headers ...string) *table {
	t := &table{tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	_, _ = fmt.Fprintln(t.w, strings.Join(headers, "\t"))

	return t
}

func (t *table) row(cells ...any) {
	texts := make([]string, 0, len(cells))
	for _, c := range cells {
		texts = append(texts, fmt.Sprint(c))
	}
	_, _ = fmt.Fprintln(t.w, strings.Join(texts, "\t"))
}

func (t *table) flush() error { return errors.Wrap(t.w.Flush(), "cannot print") }
