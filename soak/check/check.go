package check

import (
	"fmt"

	"jacinthferry/core/clock"
	"jacinthferry/standin/registered"
)

// Violation is a failed check: something that must never happen was observed.
type Violation struct {
	Check string
	At    clock.Milli
	Text  string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %.0f ms: %s", v.Check, float64(v.At), v.Text)
}

// checker runs the checks on a recorded history. It indexes requests and executions by request ID.
type checker struct {
	*History
	requests   map[string]*Request
	runs       map[string][]*registered.Request
	violations []Violation
	check      string
}

// checks lists all checks by name.
var checks = []struct {
	name string
	run  func(*checker)
}{
	{"whole", (*checker).checkIntegrity},
	{"once", (*checker).checkAtMostOnce},
	{"refusal", (*checker).checkRefusals},
	{"asked", (*checker).checkForwarding},
	{"attempts", (*checker).checkAttempts},
	{"budget", (*checker).checkRetryBudget},
	{"deadline", (*checker).checkDeadlines},
	{"gone", (*checker).checkCancellation},
	{"drain", (*checker).checkDrains},
	{"configuration", (*checker).checkConfiguration},
	{"trial", (*checker).checkRollouts},
	{"stop", (*checker).checkStops},
	{"directory", (*checker).checkDirectory},
	{"ends", (*checker).checkExits},
	{"recovery", (*checker).checkRecovery},
	{"calm", (*checker).checkAvailability},
}

// Run runs all checks and returns the violations, in the order of the checks.
func Run(h *History) []Violation {
	c := &checker{History: h, requests: make(map[string]*Request), runs: make(map[string][]*registered.Request)}
	for i := range h.Requests {
		c.requests[h.Requests[i].ID] = &h.Requests[i]
	}
	for i := range h.Runs {
		r := &h.Runs[i]
		c.runs[r.ID] = append(c.runs[r.ID], r)
	}
	for _, entry := range checks {
		c.check = entry.name
		entry.run(c)
	}

	return c.violations
}

// reportf records a violation of the current check.
func (c *checker) reportf(at clock.Milli, format string, values ...any) {
	c.violations = append(c.violations, Violation{Check: c.check, At: at, Text: fmt.Sprintf(format, values...)})
}
