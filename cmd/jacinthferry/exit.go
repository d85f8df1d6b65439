package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"jacinthferry/core/fault"
	"jacinthferry/core/reason"
)

// The exit codes.
const (
	exitDone    = 0
	exitFailed  = 1
	exitUsage   = 2
	exitUnknown = 3
)

const exitHelp = `Exit codes:
  0  done
  1  refused or failed; what was asked for did not happen
  2  the command line is wrong
  3  no answer: the change or request may have been made, so look before it is repeated`

// usageError is a command line that is wrong.
type usageError struct{ text string }

// Error returns the text.
func (e *usageError) Error() string { return e.text }

func usage(format string, args ...any) error { return &usageError{fmt.Sprintf(format, args...)} }

// failure is the error of a command that was understood.
type failure struct {
	err error
	// json is set when the command was asked for JSON.
	json bool
}

// Error returns the error's text.
func (f *failure) Error() string { return f.err.Error() }

// Unwrap returns the error.
func (f *failure) Unwrap() error { return f.err }

// faultsError is a document with faults.
type faultsError struct{ faults []fault.Fault }

// Error returns the faults, one a line.
func (e *faultsError) Error() string { return fault.Text(e.faults) }

// unsure marks a refusal of something that may have been done all the same.
type unsure struct{ refusal *reason.Refusal }

// Error returns the refusal's text.
func (u *unsure) Error() string { return u.refusal.Error() }

// Unwrap returns the refusal.
func (u *unsure) Unwrap() error { return u.refusal }

// change returns a refusal of a change as error, or nil.
func change(r *reason.Refusal) error {
	switch {
	case r == nil:
		return nil
	case r.Execution == reason.NotExecuted:
		return r
	default:
		return &unsure{r}
	}
}

// plain returns a refusal as error, or nil.
func plain(r *reason.Refusal) error {
	if r == nil {
		return nil
	}

	return r
}

// prepare makes every error of a command's action a failure, and usage errors of its flags plain.
func prepare(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err }
	for _, sub := range c.Commands {
		prepare(sub)
	}
	action := c.Action
	if action == nil {
		c.Action = func(_ context.Context, c *cli.Command) error {
			return usage("want a subcommand, see jacinthferry %s --help", c.Name)
		}

		return
	}
	c.Action = func(ctx context.Context, c *cli.Command) error {
		err := action(ctx, c)
		var wrong *usageError
		if err == nil || errors.As(err, &wrong) {
			return err
		}

		return &failure{err, c.Bool(jsonFlag)}
	}
}

// report writes what went wrong, as JSON where that was asked for, and returns the exit code.
func report(err error, errs io.Writer) int {
	var f *failure
	switch {
	case err == nil:
		return exitDone
	case !errors.As(err, &f):
		_, _ = fmt.Fprintf(errs, "error: %v\n", err)

		return exitUsage
	case f.json:
		printJSON(errs, errorOf(f.err))
	default:
		_, _ = fmt.Fprintln(errs, describe(f.err))
	}
	var own cli.ExitCoder
	if errors.As(f.err, &own) {
		return own.ExitCode()
	}
	var u *unsure
	if errors.As(f.err, &u) {
		return exitUnknown
	}

	return exitFailed
}

// describe says what happened and what to do about it.
func describe(err error) string {
	text := "error: " + err.Error()
	var faults *faultsError
	if errors.As(err, &faults) {
		return fmt.Sprintf("error: found %d\n%s", len(faults.faults), faults.Error())
	}
	var r *reason.Refusal
	if errors.As(err, &r) {
		if advice := advice(r.Reason); advice != "" {
			text += "\n" + advice
		}
	}
	var u *unsure
	if errors.As(err, &u) {
		text += "\nIt may have been done all the same: look before you repeat it."
	}

	return text
}

// advice says what helps against a refusal.
func advice(w reason.Code) string {
	switch w {
	case reason.Connection, reason.Silent:
		return "Check the address and that the daemon runs; several addresses may be given."
	case reason.Stranger:
		return "Prove who you are: give --secret, or --cert and --key, and --authority to trust the daemon."
	case reason.Configuration:
		return "Apply a configuration first: jacinthferry apply BASE."
	case reason.Conflict:
		return "See jacinthferry history for who was first, then apply to the newest revision, or use --force."
	case reason.Service:
		return "See jacinthferry status for the services that there are."
	case reason.Coverage:
		return "Use --partial to accept an answer without the missing shards; jacinthferry why names the cause."
	case reason.Deadline:
		return "Allow more time with --deadline; jacinthferry why names the cause."
	case reason.Zone:
		return "Use --force to do it all the same."
	case reason.Store:
		return "The daemons serve on without the store; repeat the change when the store is back."
	case reason.Overload, reason.Budget, reason.Cold:
		return "Try again later; jacinthferry why names the cause."
	default:
		return ""
	}
}

// errorJSON is an error for programs.
type errorJSON struct {
	Error  string        `json:"error"`
	Reason string        `json:"reason,omitempty"`
	Run    string        `json:"run,omitempty"`
	Detail string        `json:"detail,omitempty"`
	Faults []fault.Fault `json:"faults,omitempty"`
}

func errorOf(err error) errorJSON {
	e := errorJSON{Error: err.Error()}
	var r *reason.Refusal
	if errors.As(err, &r) {
		e.Reason, e.Run, e.Detail = string(r.Reason), string(r.Execution), r.Detail
	}
	var faults *faultsError
	if errors.As(err, &faults) {
		e.Faults = faults.faults
	}

	return e
}

func printJSON(w io.Writer, v any) {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(v)
}
