package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

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
			// Signals count from the first moment: reading the settings takes a while.
			told := newSignals(ctx)
			defer told.release()
			path := c.String("file")
			s, err := settings.ReadEntry(path)
			if err != nil || c.Bool("check") {
				return err
			}

			return runEntry(ctx, told, path, s)
		},
	}
}

// signals are what an entry daemon is told.
type signals struct {
	stop   context.Context
	hangup chan os.Signal
	// release makes further signals to stop end the process.
	release context.CancelFunc
}

func newSignals(ctx context.Context) *signals {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	stop, release := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)

	return &signals{stop: stop, hangup: hangup, release: release}
}

func runEntry(ctx context.Context, told *signals, path string, s settings.Entry) error {
	defer logJSONToOutput()()
	debug.SetGCPercent(s.Growth)
	debug.SetMemoryLimit(int64(float64(s.Memory) * memoryPart * megabyte))
	e, err := entry.Start(context.WithoutCancel(ctx), s)
	if err != nil {
		return err
	}
	watching, stop := context.WithCancel(ctx)
	defer stop()
	go reload(watching, told.hangup, path, e)
	klog.InfoS("serving", "name", s.Name, "zone", s.Zone, "front", s.Front, "store", s.Store)
	<-told.stop.Done()
	// From here on a second signal ends the process.
	told.release()
	klog.InfoS("stopping", "name", s.Name, "grace", s.Grace)
	e.Stop(context.WithoutCancel(ctx))
	klog.InfoS("stopped", "name", s.Name)

	return nil
}

// rereadEvery is the time between two looks at the settings file, which may change without a signal.
const rereadEvery = 5 * time.Second

// reload reads the settings file again on hangup and now and then. A file that cannot be used leaves
// the settings as they are.
func reload(ctx context.Context, hangup <-chan os.Signal, path string, e *entry.Entry) {
	ticker := time.NewTicker(rereadEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-ticker.C:
		}
		s, err := settings.ReadEntry(path)
		if err != nil {
			klog.InfoS("settings not reloaded", "err", err)

			continue
		}
		e.Reload(s)
	}
}
