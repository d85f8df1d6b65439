package check

import (
	"fmt"

	"jacinthferry/core/clock"
	"jacinthferry/standin/registered"
)

// Breach is a promise that was not kept.
type Breach struct {
	Check string
	At    clock.Milli
	Text  string
}

func (b Breach) String() string {
	return fmt.Sprintf("%s at %.0f ms: %s", b.Check, float64(b.At), b.Text)
}

// judge is a log with what the checks look up in it.
type judge struct {
	*Log
	asks  map[string]*Ask
	runs  map[string][]*registered.Run
	found []Breach
	name  string
}

// checks are all promises, by name.
var checks = []struct {
	name string
	run  func(*judge)
}{
	{"whole", (*judge).whole},
	{"once", (*judge).once},
	{"promise", (*judge).promise},
	{"asked", (*judge).asked},
	{"attempts", (*judge).attempts},
	{"budget", (*judge).budget},
	{"deadline", (*judge).deadline},
	{"gone", (*judge).gone},
	{"drain", (*judge).drain},
	{"configuration", (*judge).configuration},
	{"trial", (*judge).trial},
	{"stop", (*judge).stop},
	{"directory", (*judge).directory},
	{"ends", (*judge).ends},
	{"recovery", (*judge).recovery},
	{"calm", (*judge).served},
}

// Names returns the names of all checks.
func Names() []string {
	var names []string
	for _, c := range checks {
		names = append(names, c.name)
	}

	return names
}

// Judge returns the promises that were not kept.
func Judge(l *Log) []Breach {
	j := &judge{Log: l, asks: make(map[string]*Ask), runs: make(map[string][]*registered.Run)}
	for i := range l.Asks {
		j.asks[l.Asks[i].ID] = &l.Asks[i]
	}
	for i := range l.Runs {
		r := &l.Runs[i]
		j.runs[r.ID] = append(j.runs[r.ID], r)
	}
	for _, c := range checks {
		j.name = c.name
		c.run(j)
	}

	return j.found
}

// breach notes that a promise was not kept.
func (j *judge) breach(at clock.Milli, format string, values ...any) {
	j.found = append(j.found, Breach{Check: j.name, At: at, Text: fmt.Sprintf(format, values...)})
}
