package main

import (
	"context"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"jacinthferry/io/daemon"
	"jacinthferry/io/settings"
)

// stopTimeout is the time limit of a planned stop, added to the time for which callers cache the
// entries response.
const stopTimeout = time.Minute

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run a daemon",
		Description: `Reads the settings, described in docs/configuration.md, and serves until SIGINT or SIGTERM. It then
deregisters from the entry lists, finishes the running requests and exits; a SIGINT during that time ends
it at once.

Examples:
  jacinthferry serve -f settings.json
  jacinthferry serve -f settings.json --check`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "file", Aliases: []string{"f"}, Required: true, Usage: "read the settings from `FILE`"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
			jsonOutput(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := settings.Read(c.String("file"))
			if err != nil || c.Bool("check") {
				return err
			}

			return serve(ctx, s)
		},
	}
}

func serve(ctx context.Context, s settings.Settings) error {
	debug.SetGCPercent(s.Process.GCPercent)
	signalled, release := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer release()
	d, err := daemon.Start(context.WithoutCancel(ctx), s)
	if err != nil {
		return err
	}
	klog.InfoS(
		"serving", "name", s.Name, "caller", d.CallerAddress(), "operator", d.OperatorAddress(), "peer", d.PeerAddress(),
	)
	<-signalled.Done()
	endOnInterrupt()
	klog.InfoS("stopping", "name", s.Name)
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.Control.EntriesTTL.Duration()+stopTimeout)
	defer cancel()

	return errors.Wrap(d.Shutdown(stopping), "the planned stop did not complete; running requests were aborted")
}
