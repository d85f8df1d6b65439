package main

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"jacinthferry/core/cause"
	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/reason"
	"jacinthferry/io/journal"
)

// Flags of why that read logs in place of asking daemons.
const (
	logFlag     = "log"
	requestFlag = "request"
)

// requestJSON is what logs tell of one request.
type requestJSON struct {
	Request string        `json:"request"`
	Causes  []cause.Cause `json:"causes"`
	Lines   []lineJSON    `json:"lines"`
}

type lineJSON struct {
	Time     string `json:"time"`
	Daemon   string `json:"daemon,omitempty"`
	Kind     string `json:"kind"`
	Reason   string `json:"reason,omitempty"`
	Service  string `json:"service,omitempty"`
	Upstream string `json:"upstream,omitempty"`
	Detail   string `json:"detail,omitempty"`
}

// readLogs reads the events of log files; "-" stands for standard input. It tells on errs how many
// lines are no events.
func readLogs(paths []string, in io.Reader, errs io.Writer) ([]event.Event, error) {
	var all []event.Event
	for _, path := range paths {
		list, others, err := readLog(path, in)
		if err != nil {
			return nil, errors.Wrap(err, path)
		}
		if others > 0 {
			_, _ = fmt.Fprintf(errs, "%s: %d lines are not JSON lines of a daemon\n", path, others)
		}
		all = append(all, list...)
	}

	return all, nil
}

func readLog(path string, in io.Reader) ([]event.Event, int, error) {
	if path == "-" {
		return journal.Read(in) //nolint:wrapcheck // The caller adds the path.
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, 0, errors.Wrap(err, "cannot open a log")
	}
	defer func() { _ = f.Close() }()

	return journal.Read(f) //nolint:wrapcheck // The caller adds the path.
}

// whyFromLogs explains one request, or counts the causes of all, from log files.
func whyFromLogs(c *cli.Command) error {
	root := c.Root()
	all, err := readLogs(c.StringSlice(logFlag), root.Reader, root.ErrWriter)
	if err != nil {
		return err
	}
	if id := c.String(requestFlag); id != "" {
		return explain(c, all, id)
	}
	all = slices.DeleteFunc(all, func(e event.Event) bool { return !wanted(c, &e) })
	found := whyJSON{Asked: []askedJSON{}, Causes: causes(all)}
	if c.Bool(jsonFlag) {
		printJSON(root.Writer, found)

		return nil
	}

	return printCauses(c, found)
}

// wanted reports whether an event passes the filters.
func wanted(c *cli.Command, e *event.Event) bool {
	service, kind, why := c.String(serviceFlag), c.String("kind"), c.String("reason")

	return e.Kind != event.Answer && (service == "" || e.Service == "" || e.Service == service) &&
		(kind == "" || e.Kind == event.Kind(kind)) && (why == "" || e.Reason == reason.Code(why))
}

// explain prints what is known of one request.
func explain(c *cli.Command, all []event.Event, id string) error {
	finding, found := cause.Explain(all, id)
	if !found {
		return errors.Errorf("no line of these logs is about request %q%s", id, lossText(cause.UncleanStops(all)))
	}
	out := requestJSON{Request: id, Causes: finding.Causes}
	for i := range finding.Events {
		e := &finding.Events[i]
		out.Lines = append(out.Lines, lineJSON{
			Time: instant(e.At), Daemon: e.Daemon, Kind: string(e.Kind), Reason: string(e.Reason), Service: e.Service,
			Upstream: e.Upstream, Detail: e.Detail,
		})
	}
	if c.Bool(jsonFlag) {
		printJSON(c.Root().Writer, out)

		return nil
	}

	return printFinding(c.Root().Writer, &finding)
}

// lossText says which daemons may have taken a request with them.
func lossText(losses []cause.UncleanStop) string {
	if len(losses) == 0 {
		return ""
	}
	var b strings.Builder
	b.WriteString("; these daemons ended without a planned stop, with the requests that they had taken:")
	for _, l := range losses {
		_, _ = fmt.Fprintf(
			&b, "\n  %s after %s, served again at %s", l.Daemon, clockText(l.LastEvent), clockText(l.Restarted),
		)
	}

	return b.String()
}

func printFinding(w io.Writer, f *cause.Finding) error {
	if len(f.Causes) == 0 {
		_, _ = fmt.Fprintln(w, "nothing went wrong with it, or the lines about that were left out")
	}
	for i, one := range f.Causes {
		_, _ = fmt.Fprintf(w, "cause %d: %s (%d events%s)\n", i+1, one.Text, one.Events, span(one))
	}
	_, _ = fmt.Fprintln(w)
	t := newTable(w, "MS", "DAEMON", "KIND", "REASON", "SERVICE", "UPSTREAM", "DETAIL")
	for i := range f.Events {
		e := &f.Events[i]
		t.row(fmt.Sprintf("%+.0f", float64(e.At-f.Events[0].At)), e.Daemon, e.Kind, e.Reason, e.Service, e.Upstream, e.Detail)
	}

	return t.flush()
}

// span returns the time in which a cause showed, as text.
func span(c cause.Cause) string {
	if c.Last <= c.First {
		return ""
	}

	return fmt.Sprintf(", %s to %s", clockText(c.First), clockText(c.Last))
}

// clockText returns the time of day of an instant.
func clockText(at clock.Milli) string {
	return at.Time().Format("15:04:05.000")
}
