// Command standin runs a fake platform or a fake upstream as a separate process.
package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"jacinthferry/core/clock"
	"jacinthferry/io/rpc"
	"jacinthferry/io/timer"
	"jacinthferry/standin/platform"
	"jacinthferry/standin/records"
	"jacinthferry/standin/upstream"
)

func main() {
	root := &cli.Command{
		Name: "standin", Usage: "run a fake platform or upstream for experiments and tests",
		Commands: []*cli.Command{platformCommand(), upstreamCommand()},
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := root.Run(ctx, os.Args); err != nil {
		klog.ErrorS(err, "failed")
		klog.Flush()
		os.Exit(1) //nolint:gocritic // Nothing is left to stop.
	}
}

func addressFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "address", Required: true, Usage: "`ADDRESS` to listen on, such as 127.0.0.1:7000"},
		&cli.StringFlag{Name: "command", Usage: "`ADDRESS` of the endpoint for commands and counts; disabled if empty"},
	}
}

// serveCommands serves the command endpoint, if an address is set, until ctx ends. Without an address it
// just waits.
func serveCommands(ctx context.Context, c *cli.Command, handler http.Handler) error {
	if address := c.String("command"); address != "" {
		server, err := rpc.Listen(address, handler)
		if err != nil {
			return err
		}
		defer func() { _ = server.Close() }()
	}
	<-ctx.Done()

	return nil
}

func platformCommand() *cli.Command {
	defaults := platform.DefaultLimits()

	return &cli.Command{
		Name: "platform", Usage: "serve a store with leases and watches, and an instance registry",
		Flags: append(addressFlags(),
			&cli.IntFlag{Name: "reads", Value: defaults.ReadRate, Usage: "maximum reads per second"},
			&cli.IntFlag{Name: "writes", Value: defaults.WriteRate, Usage: "maximum writes per second"},
			&cli.Int64Flag{
				Name: "kept", Value: defaults.KeptRevisions, Usage: "number of past revisions that a watch may start from",
			},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			store := platform.NewWithLimits(timer.NewClock(), platform.Limits{
				ReadRate: c.Int("reads"), WriteRate: c.Int("writes"), KeptRevisions: c.Int64("kept"), Seed: defaults.Seed,
			})
			server, err := rpc.Listen(c.String("address"), store.Handler())
			if err != nil {
				return err
			}
			defer func() { _ = server.Close() }()

			return serveCommands(ctx, c, store.CommandHandler())
		},
	}
}

func upstreamCommand() *cli.Command {
	return &cli.Command{
		Name: "upstream", Usage: "serve shards of the bundled sample records",
		Flags: append(addressFlags(),
			&cli.StringFlag{Name: "name", Required: true, Usage: "`NAME` in the configuration"},
			&cli.StringFlag{Name: "service", Value: "markers", Usage: "`NAME` of the service: posters or markers"},
			&cli.StringFlag{Name: "release", Value: "v1", Usage: "`NAME` of the running version"},
			&cli.StringFlag{Name: "incarnation", Value: strconv.Itoa(os.Getpid()), Usage: "`ID` of this start of the process"},
			&cli.StringFlag{Name: "snapshot", Value: "2026-12-01", Usage: "`NAME` of the snapshot"},
			&cli.Uint64Flag{Name: "order", Value: 1, Usage: "order of the snapshot; higher is newer"},
			&cli.IntFlag{Name: "total", Value: 1, Usage: "total number of shards of the snapshot"},
			&cli.IntSliceFlag{Name: "shards", Value: []int{0}, Usage: "shards that it serves, such as 0,4,9"},
			&cli.IntFlag{Name: "slots", Value: 2, Usage: "maximum number of concurrent legs"},
			&cli.IntFlag{Name: "bears", Value: 1, Usage: "maximum number of concurrent legs during warm-up"},
			&cli.IntFlag{Name: "warm", Value: 4, Usage: "number of legs after which warm-up ends"},
			&cli.DurationFlag{Name: "work", Usage: "service time of one leg"},
			&cli.IntFlag{Name: "connections", Value: 25, Usage: "maximum number of open connections"},
			&cli.DurationFlag{Name: "connect", Usage: "time to establish a connection"},
			&cli.DurationFlag{
				Name: "grace", Value: (2 * clock.Second).Duration(), Usage: "how long new requests after a drain are tolerated",
			},
			&cli.Uint64Flag{Name: "seed", Usage: "random seed of the faults"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			all, err := records.Load()
			if err != nil {
				return err
			}
			u := upstream.New(upstream.Options{
				Name: c.String("name"), Service: c.String("service"), Version: c.String("release"),
				Incarnation: c.String("incarnation"), Snapshot: c.String("snapshot"), Order: c.Uint64("order"),
				Total: c.Int("total"), Shards: c.IntSlice("shards"), Slots: c.Int("slots"), ColdLimit: c.Int("bears"),
				WarmupLegs: c.Int("warm"), ServiceTime: clock.FromDuration(c.Duration("work")),
				MaxConnections: c.Int("connections"),
				ConnectDelay:   clock.FromDuration(c.Duration("connect")), DrainGrace: clock.FromDuration(c.Duration("grace")),
				Seed: c.Uint64("seed"),
			}, all)
			server, err := u.Listen(c.String("address"))
			if err != nil {
				return err
			}
			defer func() { _ = server.Close() }()

			return serveCommands(ctx, c, u.CommandHandler())
		},
	}
}
