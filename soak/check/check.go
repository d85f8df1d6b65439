package check

import (
	"fmt"

	"jacinthferry/core/clock"
	"jacinthferry/standin/registered"
)

// Violation is something that must not happen and did.
type Violation struct {
	Check string
	At    clock.Milli
	Text  string
}

func (b Violation) String() string {
	return fmt.Sprintf("%s at %.0f ms: %s", b.Check, float64(b.At), b.Text)
}

// checker is a log with what the checks look up in it.
type checker struct {
	*Log
	asks  map[string]*Ask
	runs  map[string][]*registered.Request
	found []Violation
	name  string
}

// checks are all checks, by name.
var checks = []struct {
	name string
	run  func(*checker)
}{
	{"whole", (*checker).whole},
	{"once", (*checker).once},
	{"refusal", (*checker).refusal},
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

// Run returns what must not have happened.
func Run(l *Log) []Violation {
	c := &checker{Log: l, asks: make(map[string]*Ask), runs: make(map[string][]*registered.Request)}
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

// violate notes that a check failed.
func (c *checker) violate(at clock.Milli, format string, values ...any) {
	c.found = append(c.found, Violation{Check: c.name, At: at, Text: fmt.Sprintf(format, values...)})
}
