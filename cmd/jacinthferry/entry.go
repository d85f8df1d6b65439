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

// memoryLimitRatio is the fraction of the process's memory that is set as the runtime's soft memory limit;
// near it, the garbage collector runs regardless of its CPU cost.
const memoryLimitRatio = 0.8

const megabyte = 1 << 20

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run an entry daemon on the platform",
		Description: `Reads the settings, described in docs/configuration.md, and serves the routes configured in the
platform's store until SIGINT or SIGTERM. It then deregisters from the directory, continues to serve for
the grace period and exits; a SIGINT during that time ends it at once. Logs go to standard output.

Examples:
  jacinthferry entry -f entry.json
  jacinthferry entry -f entry.json --check`,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "file", Aliases: []string{"f"}, Required: true, Sources: cli.EnvVars(envPrefix + "CONFIG"),
				Usage: "read the settings from `FILE`",
			},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
			jsonOutput(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			// Handle signals before reading the settings, which takes a while.
			sigs := newSignals(ctx)
			defer sigs.release()
			path := c.String("file")
			s, err := settings.ReadEntry(path)
			if err != nil || c.Bool("check") {
				return err
			}

			return runEntry(ctx, sigs, path, s)
		},
	}
}

// signals holds the signals that an entry daemon handles.
type signals struct {
	stop   context.Context
	hangup chan os.Signal
	// release restores the default action of SIGINT and SIGTERM, which ends the process.
	release context.CancelFunc
}

func newSignals(ctx context.Context) *signals {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	stop, release := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)

	return &signals{stop: stop, hangup: hangup, release: release}
}

// endOnInterrupt lets a SIGINT from now on end the process at once. Another SIGTERM does not cut a planned stop short.
func endOnInterrupt() { signal.Reset(syscall.SIGINT) }

func runEntry(ctx context.Context, sigs *signals, path string, s settings.Entry) error {
	defer logJSONToStdout()()
	debug.SetGCPercent(s.GCPercent)
	debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryLimitRatio * megabyte))
	e, err := entry.Start(context.WithoutCancel(ctx), s)
	if err != nil {
		return err
	}
	watching, stop := context.WithCancel(ctx)
	defer stop()
	go reload(watching, sigs.hangup, path, e)
	klog.InfoS("serving", "name", s.Name, "zone", s.Zone, "front", s.RequestAddress, "store", s.StoreAddress)
	<-sigs.stop.Done()
	endOnInterrupt()
	klog.InfoS("stopping", "name", s.Name, "grace", s.GracePeriod)
	e.Stop(context.WithoutCancel(ctx))
	klog.InfoS("stopped", "name", s.Name)

	return nil
}

// reloadInterval is the polling interval of the settings file, which may change without a SIGHUP.
const reloadInterval = 5 * time.Second

// reload reads the settings file on every SIGHUP and every reloadInterval, until ctx ends. If the file is
// invalid, the previous settings stay in effect.
func reload(ctx context.Context, hangup <-chan os.Signal, path string, e *entry.Entry) {
	ticker := time.NewTicker(reloadInterval)
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
			klog.InfoS("settings not reloaded; keeping the previous ones", "err", err)

			continue
		}
		e.Reload(s)
	}
}
