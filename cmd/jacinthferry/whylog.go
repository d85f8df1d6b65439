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

// Names of the flags of why that select and filter logs.
const (
	logFlag     = "log"
	requestFlag = "request"
)

// requestJSON is the JSON output of why --request.
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

// readLogs reads the events of log files; "-" stands for standard input. It writes to errs how many
// lines are not log lines of a daemon.
func readLogs(paths []string, in io.Reader, errs io.Writer) ([]event.Event, error) {
	var all []event.Event
	for _, path := range paths {
		list, skipped, err := readLog(path, in)
		if err != nil {
			return nil, errors.Wrap(err, path)
		}
		if skipped > 0 {
			_, _ = fmt.Fprintf(errs, "%s: %d lines are not JSON log lines of a daemon; skipped\n", path, skipped)
		}
		all = append(all, list...)
	}

	return all, nil
}

func readLog(path string, in io.Reader) ([]event.Event, int, error) {
	if path == "-" {
		return journal.ParseLog(in) //nolint:wrapcheck // The caller adds the path.
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, 0, errors.Wrap(err, "cannot open the log file")
	}
	defer func() { _ = f.Close() }()

	return journal.ParseLog(f) //nolint:wrapcheck // The caller adds the path.
}

// whyFromLogs reads log files, and explains one request or counts the causes of all events.
func whyFromLogs(c *cli.Command) error {
	root := c.Root()
	all, err := readLogs(c.StringSlice(logFlag), root.Reader, root.ErrWriter)
	if err != nil {
		return err
	}
	if id := c.String(requestFlag); id != "" {
		return explainRequest(c, all, id)
	}
	all = slices.DeleteFunc(all, func(e event.Event) bool { return !matches(c, &e) })
	found := whyJSON{Daemons: []daemonJSON{}, Causes: groupByCause(all)}
	if c.Bool(jsonFlag) {
		printJSON(root.Writer, found)

		return nil
	}

	return printCauses(c, found)
}

// matches reports whether an event passes the filters of the command line. Events of successful answers
// never do.
func matches(c *cli.Command, e *event.Event) bool {
	service, kind, code := c.String(serviceFlag), c.String("kind"), c.String("reason")

	return e.Kind != event.Answer && (service == "" || e.Service == "" || e.Service == service) &&
		(kind == "" || e.Kind == event.Kind(kind)) && (code == "" || e.Reason == reason.Code(code))
}

// explainRequest prints the causes and events of one request.
func explainRequest(c *cli.Command, all []event.Event, id string) error {
	finding, found := cause.Explain(all, id)
	if !found {
		return errors.Errorf("the logs contain no event of request %q%s", id, uncleanStopsText(cause.UncleanStops(all)))
	}
	out := requestJSON{Request: id, Causes: finding.Causes}
	for i := range finding.Events {
		e := &finding.Events[i]
		out.Lines = append(out.Lines, lineJSON{
			Time: formatTime(e.At), Daemon: e.Daemon, Kind: string(e.Kind), Reason: string(e.Reason), Service: e.Service,
			Upstream: e.Upstream, Detail: e.Detail,
		})
	}
	if c.Bool(jsonFlag) {
		printJSON(c.Root().Writer, out)

		return nil
	}

	return printFinding(c.Root().Writer, &finding)
}

// uncleanStopsText lists the daemons whose unclean stop may have aborted the request. It returns "" if
// there are none.
func uncleanStopsText(stops []cause.UncleanStop) string {
	if len(stops) == 0 {
		return ""
	}
	var b strings.Builder
	b.WriteString("; these daemons stopped uncleanly, and the requests in flight there have no final event:")
	for _, l := range stops {
		_, _ = fmt.Fprintf(
			&b, "\n  %s after %s, serving again at %s", l.Daemon, timeOfDay(l.LastEvent), timeOfDay(l.Restarted),
		)
	}

	return b.String()
}

func printFinding(w io.Writer, f *cause.Finding) error {
	if len(f.Causes) == 0 {
		_, _ = fmt.Fprintln(w, "no cause found: the request was successful, or the log omitted the relevant events")
	}
	for i, c := range f.Causes {
		_, _ = fmt.Fprintf(w, "cause %d: %s (%d events%s)\n", i+1, c.Text, c.Events, periodText(c))
	}
	_, _ = fmt.Fprintln(w)
	t := newTable(w, "MS", "DAEMON", "KIND", "REASON", "SERVICE", "UPSTREAM", "DETAIL")
	for i := range f.Events {
		e := &f.Events[i]
		t.row(fmt.Sprintf("%+.0f", float64(e.At-f.Events[0].At)), e.Daemon, e.Kind, e.Reason, e.Service, e.Upstream, e.Detail)
	}

	return t.flush()
}

// periodText returns the times of the first and last event of a cause, or "" if they are equal.
func periodText(c cause.Cause) string {
	if c.Last <= c.First {
		return ""
	}

	return fmt.Sprintf(", %s to %s", timeOfDay(c.First), timeOfDay(c.Last))
}

// timeOfDay formats the time of day with milliseconds.
func timeOfDay(at clock.Milli) string {
	return at.Time().Format("15:04:05.000")
}
