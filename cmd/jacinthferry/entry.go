package main

import (
	"context"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"jacinthferry/io/entry"
	"jacinthferry/io/settings"
)

// memoryPart is the part of the memory that the heap may fill before it is collected at any cost.
const memoryPart = 0.8

const megabyte = 1 << 20

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run an entry daemon on the platform until it is told to stop",
		Description: `Reads the settings, which docs/configuration.md describes, and serves the routes that operators keep in
the platform's store until SIGINT or SIGTERM. Then it leaves the directory, serves on for the grace time
and exits. Logs go to standard output.

Examples:
  jacinthferry entry -f entry.json
  jacinthferry entry -f entry.json --check`,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "file", Aliases: []string{"f"}, Required: true, Sources: cli.EnvVars(environment + "CONFIG"),
				Usage: "the settings `FILE`",
			},
			&cli.BoolFlag{Name: "check", Usage: "only check the settings"},
			jsonOutput(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := settings.ReadEntry(c.String("file"))
			if err != nil || c.Bool("check") {
				return err
			}

			return runEntry(ctx, s)
		},
	}
}

func runEntry(ctx context.Context, s settings.Entry) error {
	logJSONToOutput()
	debug.SetGCPercent(s.Growth)
	debug.SetMemoryLimit(int64(float64(s.Memory) * memoryPart * megabyte))
	told, release := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer release()
	e, err := entry.Start(context.WithoutCancel(ctx), s)
	if err != nil {
		return err
	}
	klog.InfoS("serving", "name", s.Name, "zone", s.Zone, "front", s.Front, "store", s.Store)
	<-told.Done()
	// From here on a second signal ends the process.
	release()
	klog.InfoS("stopping", "name", s.Name, "grace", s.Grace)
	e.Stop(context.WithoutCancel(ctx))
	klog.InfoS("stopped", "name", s.Name)

	return nil
}
