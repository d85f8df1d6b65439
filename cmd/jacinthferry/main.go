// Command jacinthferry runs the daemons, and is the command-line client of callers and operators.
package main

import (
	"context"
	"io"
	"os"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"
)

func main() {
	logJSONToStderr()
	code := run(context.Background(), os.Args, os.Stdout, os.Stderr)
	klog.Flush()
	os.Exit(code)
}

// run executes the command line args, the program name first, and returns the exit code.
func run(ctx context.Context, args []string, out, errs io.Writer) int {
	root := &cli.Command{
		Name:                            "jacinthferry",
		Usage:                           "a query tier over many shards",
		Description:                     exitHelp,
		EnableShellCompletion:           true,
		ConfigureShellCompletionCommand: func(c *cli.Command) { c.Hidden = false },
		Suggest:                         true,
		Writer:                          out,
		ErrWriter:                       errs,
		ExitErrHandler:                  func(context.Context, *cli.Command, error) {},
		OnUsageError:                    func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err },
		Commands: []*cli.Command{
			serveCommand(), entryCommand(), demoCommand(), loadCommand(),
			queryCommand(), submitCommand(), idCommand(), entriesCommand(),
			checkCommand(), applyCommand(), getCommand(), historyCommand(), zoneCommand(), statusCommand(), whyCommand(),
			schemaCommand(), versionCommand(),
		},
	}
	for _, c := range root.Commands {
		wrapActions(c)
	}
	// Without a command, print the help.
	root.Action = func(_ context.Context, c *cli.Command) error {
		if c.Args().Present() {
			return usageErrorf("there is no command %q; see jacinthferry --help", c.Args().First())
		}

		return cli.ShowRootCommandHelp(c)
	}

	return reportError(root.Run(ctx, args), errs)
}
