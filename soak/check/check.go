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

// checker is a log with what the checks look up in it.
type checker struct {
	*Log
	asks  map[string]*Ask
	runs  map[string][]*registered.Run
	found []Breach
	name  string
}

// checks are all promises, by name.
var checks = []struct {
	name string
	run  func(*checker)
}{
	{"whole", (*checker).whole},
	{"once", (*checker).once},
	{"promise", (*checker).promise},
	{"asked", (*checker).asked},
	{"attempts", (*checker).attempts},
	{"budget", (*checker).budget},
	{"deadline", (*checker).deadline},
	{"gone", (*checker).gone},
	{"drain", (*checker).drain},
	{"configuration", (*checker).configuration},
	{"trial", (*checker).trial},
	{"stop", (*checker).stop},
	{"directory", (*checker).directory},
	{"ends", (*checker).ends},
	{"recovery", (*checker).recovery},
	{"calm", (*checker).served},
}

// Names returns the names of all checks.
func Names() []string {
	var names []string
	for _, c := range checks {
		names = append(names, c.name)
	}

	return names
}

// Run returns the promises that were not kept.
func Run(l *Log) []Breach {
	c := &checker{Log: l, asks: make(map[string]*Ask), runs: make(map[string][]*registered.Run)}
	for i := range l.Asks {
		c.asks[l.Asks[i].ID] = &l.Asks[i]
	}
	for i := range l.Runs {
		r := &l.Runs[i]
		c.runs[r.ID] = append(c.runs[r.ID], r)
	}
	for _, one := range checks {
		c.name = one.name
		one.run(c)
	}

	return c.found
}

// breach notes that a promise was not kept.
func (c *checker) breach(at clock.Milli, format string, values ...any) {
	c.found = append(c.found, Breach{Check: c.name, At: at, Text: fmt.Sprintf(format, values...)})
}
