// Command soak runs entry daemons as separate processes, injects faults chosen by seeds, and checks
// the requests, responses and executions that callers and upstreams record.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"jacinthferry/core/clock"
	"jacinthferry/soak/check"
	"jacinthferry/soak/testbed"
)

// ErrViolation is returned when a check reports a violation or a seed cannot be run to its end.
var ErrViolation = errors.New("soak: checks failed")

func main() {
	root := &cli.Command{
		Name: "soak", Usage: "run daemons under injected faults and check what callers and upstreams record",
		Description: "Build the program first: go build -o target/ ./cmd/jacinthferry\n" +
			"Example: go run ./soak --program target/jacinthferry --seeds 50 --jobs 3",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Value: "target/jacinthferry", Usage: "`FILE` of the program"},
			&cli.StringFlag{Name: "out", Usage: "`DIRECTORY` for settings and logs; a temporary directory if empty"},
			&cli.Uint64Flag{Name: "first", Value: 1, Usage: "first seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of seeds"},
			&cli.StringFlag{Name: "cases", Usage: "`FILE` of additional seeds; each line begins with a seed"},
			&cli.IntFlag{Name: "jobs", Value: 1, Usage: "number of seeds that run at the same time"},
			&cli.IntFlag{Name: "daemons", Value: 4, Usage: "number of daemons of each seed"},
			&cli.IntFlag{Name: "small", Value: 0, Usage: "number of further daemons, too small to be needed"},
			&cli.IntFlag{Name: "clients", Value: 16, Usage: "number of callers of each seed"},
			&cli.FloatFlag{Name: "rate", Value: 90, Usage: "total requests per second of the callers of a seed"},
			&cli.StringSliceFlag{Name: "only", Usage: "`KINDS` of steps; chosen by the seed if empty"},
			&cli.DurationFlag{Name: "span", Value: 16 * time.Second, Usage: "period in which steps begin"},
		},
		Action: run,
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := root.Run(ctx, os.Args); err != nil {
		klog.ErrorS(err, "failed")
		klog.Flush()
		os.Exit(1) //nolint:gocritic // Nothing is left to stop.
	}
}

func run(ctx context.Context, c *cli.Command) error {
	out := c.String("out")
	if out == "" {
		var err error
		if out, err = os.MkdirTemp("", "soak-"); err != nil {
			return errors.Wrap(err, "soak: cannot create a temporary directory")
		}
	}
	kinds, err := parseKinds(c.StringSlice("only"))
	if err != nil {
		return err
	}
	list, err := parseSeeds(c)
	if err != nil {
		return err
	}
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	for range c.Int("jobs") {
		workers.Go(func() {
			for seed := range seeds {
				text, ok := runSeed(ctx, c, kinds, seed, filepath.Join(out, fmt.Sprint("seed-", seed)))
				mu.Lock()
				_, _ = fmt.Fprint(c.Root().Writer, text)
				if !ok {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	for _, seed := range list {
		if ctx.Err() == nil {
			seeds <- seed
		}
	}
	close(seeds)
	workers.Wait()
	if failed > 0 {
		return errors.Wrapf(ErrViolation, "%d seeds, see %s", failed, out)
	}

	return nil
}

// parseSeeds returns the seeds to run: those of the cases file, followed by the range given by flags.
func parseSeeds(c *cli.Command) ([]uint64, error) {
	var list []uint64
	if path := c.String("cases"); path != "" {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "soak: cannot read the file of cases")
		}
		for line := range strings.Lines(string(text)) {
			word, _, _ := strings.Cut(line, " ")
			seed, err := strconv.ParseUint(word, 10, 64)
			if err != nil {
				return nil, errors.Wrapf(err, "soak: %s", path)
			}
			list = append(list, seed)
		}
	}
	for i := range c.Int("seeds") {
		list = append(list, c.Uint64("first")+uint64(i))
	}

	return list, nil
}

// parseKinds converts step names from the command line to kinds of steps.
func parseKinds(words []string) ([]testbed.StepKind, error) {
	var kinds []testbed.StepKind
	for _, word := range words {
		if !slices.Contains(testbed.StepKinds(), testbed.StepKind(word)) {
			return nil, errors.Errorf("soak: unknown kind of step %q, want one of %v", word, testbed.StepKinds())
		}
		kinds = append(kinds, testbed.StepKind(word))
	}

	return kinds, nil
}

// runSeed runs one seed and returns its lines of the report and whether all checks passed.
func runSeed(ctx context.Context, c *cli.Command, kinds []testbed.StepKind, seed uint64, dir string) (string, bool) {
	span := clock.FromDuration(c.Duration("span"))
	plan := testbed.NewPlan(seed, span, kinds)
	h, err := testbed.Run(ctx, testbed.Options{
		Binary: c.String("program"), Directory: dir, Seed: seed, StepPeriod: span, Daemons: c.Int("daemons"),
		SmallDaemons: c.Int("small"),
		Callers:      c.Int("clients"), Rate: c.Float("rate"),
	}, plan)
	if err != nil {
		return fmt.Sprintf("seed %d: %v\n", seed, err), false
	}
	violations := check.Run(h)
	text := check.Summary(seed, h)
	for _, v := range violations {
		text += "  " + v.String() + "\n"
	}

	return text, len(violations) == 0
}
