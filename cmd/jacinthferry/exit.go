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

// Exit codes of all commands.
const (
	exitDone    = 0
	exitFailed  = 1
	exitUsage   = 2
	exitUnknown = 3
)

const exitHelp = `Exit codes:
  0  success
  1  refused or failed; the operation was not executed
  2  invalid command line
  3  no response; the operation may have been executed, so check before repeating it`

// usageError reports an invalid command line.
type usageError struct{ text string }

// Error implements the error interface.
func (e *usageError) Error() string { return e.text }

func usageErrorf(format string, args ...any) error { return &usageError{fmt.Sprintf(format, args...)} }

// commandError is an error of a command whose command line was valid.
type commandError struct {
	err error
	// json reports whether the error is to be printed as JSON.
	json bool
}

// Error returns the text of the wrapped error.
func (e *commandError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *commandError) Unwrap() error { return e.err }

// faultsError reports the faults of an invalid document.
type faultsError struct{ faults []fault.Fault }

// Error returns the faults, one a line.
func (e *faultsError) Error() string { return fault.Text(e.faults) }

// unknownOutcomeError is a refusal of an operation that may have been executed nevertheless.
type unknownOutcomeError struct{ refusal *reason.Refusal }

// Error returns the refusal's text.
func (e *unknownOutcomeError) Error() string { return e.refusal.Error() }

// Unwrap returns the refusal.
func (e *unknownOutcomeError) Unwrap() error { return e.refusal }

// changeError returns the refusal of a configuration change as an error, or nil if there is none. Unless
// the refusal says that the change was not executed, the error is an unknownOutcomeError.
func changeError(r *reason.Refusal) error {
	switch {
	case r == nil:
		return nil
	case r.Run == reason.NotExecuted:
		return r
	default:
		return &unknownOutcomeError{r}
	}
}

// refusalError returns r as an error. A nil r gives a nil interface value.
func refusalError(r *reason.Refusal) error {
	if r == nil {
		return nil
	}

	return r
}

// wrapActions wraps the actions of c and its subcommands such that they return a usageError or a
// commandError, and returns errors of flags unchanged.
func wrapActions(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err }
	for _, sub := range c.Commands {
		wrapActions(sub)
	}
	action := c.Action
	if action == nil {
		c.Action = func(_ context.Context, c *cli.Command) error {
			return usageErrorf("want a subcommand; see jacinthferry %s --help", c.Name)
		}

		return
	}
	c.Action = func(ctx context.Context, c *cli.Command) error {
		err := action(ctx, c)
		var usageErr *usageError
		if err == nil || errors.As(err, &usageErr) {
			return err
		}

		return &commandError{err, c.Bool(jsonFlag)}
	}
}

// reportError writes err to errs, as JSON if the command has --json, and returns the exit code.
func reportError(err error, errs io.Writer) int {
	var f *commandError
	switch {
	case err == nil:
		return exitDone
	case !errors.As(err, &f):
		_, _ = fmt.Fprintf(errs, "error: %v\n", err)

		return exitUsage
	case f.json:
		printJSON(errs, toError(f.err))
	default:
		_, _ = fmt.Fprintln(errs, describeError(f.err))
	}
	var coder cli.ExitCoder
	if errors.As(f.err, &coder) {
		return coder.ExitCode()
	}
	var u *unknownOutcomeError
	if errors.As(f.err, &u) {
		return exitUnknown
	}

	return exitFailed
}

// describeError returns the text of err and, for some refusals, advice to the user.
func describeError(err error) string {
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
	var u *unknownOutcomeError
	if errors.As(err, &u) {
		text += "\nThe operation may have been executed; check before repeating it."
	}

	return text
}

// advice returns what the user can do about a refusal, or "".
func advice(w reason.Code) string {
	switch w {
	case reason.Connection, reason.Silent:
		return "Check the address and that the daemon is running; several addresses may be given."
	case reason.Stranger:
		return "Authenticate with --secret, or with --cert and --key; use --authority to verify the daemon's certificate."
	case reason.Configuration:
		return "Apply a configuration first: jacinthferry apply BASE."
	case reason.Conflict:
		return "See jacinthferry history for the conflicting change, then apply to the latest revision, or use --force."
	case reason.Service:
		return "See jacinthferry status for the available services."
	case reason.Coverage:
		return "Use --partial to accept a response that lacks shards; jacinthferry why shows the cause."
	case reason.Deadline:
		return "Allow more time with --deadline; jacinthferry why shows the cause."
	case reason.Zone:
		return "Use --force to override the check."
	case reason.Store:
		return "The daemons continue to serve without the store; repeat the change when the store is available again."
	case reason.Overload, reason.Budget, reason.Cold:
		return "Try again later; jacinthferry why shows the cause."
	default:
		return ""
	}
}

// errorJSON is the JSON output of an error.
type errorJSON struct {
	Error  string        `json:"error"`
	Reason string        `json:"reason,omitempty"`
	Run    string        `json:"run,omitempty"`
	Detail string        `json:"detail,omitempty"`
	Faults []fault.Fault `json:"faults,omitempty"`
}

func toError(err error) errorJSON {
	e := errorJSON{Error: err.Error()}
	var r *reason.Refusal
	if errors.As(err, &r) {
		e.Reason, e.Run, e.Detail = string(r.Reason), string(r.Run), r.Detail
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
