// Command kit plays the cases of the review: it is the store, the backends, the operator and the clients of a small
// deployment whose daemons a script starts as processes. It exits with 1 if a rule was broken, with 0 if it held, and
// with 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseTimeout ends a case that hangs.
const caseTimeout = 110 * time.Second

// verdict is what a case found.
type verdict struct {
	broken bool
	text   string
}

// play is a case that is played in a fleet which it starts.
type play func(ctx context.Context, dir, record string, trouble bool) (verdict, error)

func plays() map[string]play {
	return map[string]play{
		"cold-again": playColdAgain, "late-drain": playLateDrain, "revert": playRevert, "stuck-watch": playStuckWatch,
	}
}

func main() { os.Exit(run()) }

func run() int {
	dir := flag.String("work", "", "folder for settings")
	record := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	p := plays()[flag.Arg(0)]
	if p == nil || *dir == "" {
		fmt.Fprintln(os.Stderr, "usage: kit --work DIR --record FILE CASE")

		return exitFailed
	}
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	v, err := p(ctx, *dir, *record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)

		return exitFailed
	}
	_, _ = fmt.Fprintln(os.Stdout, v.text)
	if v.broken {
		return exitBroken
	}

	return exitHeld
}

// conclude records and returns a verdict.
func (f *fleet) conclude(broken bool, format string, args ...any) (verdict, error) {
	v := verdict{broken, fmt.Sprintf(format, args...)}
	f.logf("verdict broken=%t: %s", v.broken, v.text)

	return v, nil
}
