package journal

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"

	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/reason"
)

// maxLineBytes is the length of the longest line that can be read.
const maxLineBytes = 1 << 20

// logLine is a JSON line of a daemon's log.
type logLine struct {
	Time     time.Time `json:"time"`
	Message  string    `json:"msg"`
	Name     string    `json:"name"`
	Kind     string    `json:"kind"`
	Reason   string    `json:"reason"`
	Service  string    `json:"service"`
	Version  string    `json:"version"`
	Zone     string    `json:"zone"`
	Upstream string    `json:"upstream"`
	Daemon   string    `json:"daemon"`
	Request  string    `json:"request"`
	Print    string    `json:"print"`
	Detail   string    `json:"detail"`
	Revision uint64    `json:"revision"`
	// Ago is the time from the event to Time, in milliseconds.
	Ago float64 `json:"ago"`
}

// eventMessage is the message of the lines that hold an event.
const eventMessage = "event"

// ParseLog returns the events in the logs of daemons, and the number of lines that are no JSON log lines.
// It ignores what precedes the first brace of a line, because log collectors put times and names there.
// Lines with another message than that of an event are about the process and become events of the kind
// Process.
func ParseLog(r io.Reader) (list []event.Event, others int, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		text := lines.Text()
		var l logLine
		start := strings.IndexByte(text, '{')
		if start < 0 || json.Unmarshal([]byte(text[start:]), &l) != nil || l.Time.IsZero() {
			others++

			continue
		}
		list = append(list, l.event())
	}

	return list, others, errors.Wrap(lines.Err(), "journal: cannot read the log")
}

func (l *logLine) event() event.Event {
	e := event.Event{
		At: clock.FromTime(l.Time) - clock.Milli(l.Ago), Kind: event.Kind(l.Kind), Reason: reason.Code(l.Reason),
		Service: l.Service, Version: l.Version, Zone: l.Zone, Upstream: l.Upstream, Daemon: l.Daemon,
		Request: l.Request, Print: l.Print, Detail: l.Detail, Revision: l.Revision,
	}
	if l.Message != eventMessage {
		e.Kind, e.Daemon, e.Detail = event.Process, l.Name, l.Message
	}

	return e
}
