// Command kit-2 holds the stand-ins of the second review: upstreams, callers and the operator of a small deployment,
// which run in one process beside the daemons and the store. It also judges what they saw.
package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// timeLimit ends a case that takes too long.
const timeLimit = 117 * time.Second

// The ports that printPorts chooses from lie below those that the system gives to outgoing connections, and above those
// of the soak.
const (
	firstPort = 28_000
	portRange = 4_500
	// portTries is how many ports are tried for each one that is wanted.
	portTries = 20
)

func main() {
	if len(os.Args) < 2 {
		fail(errors.New("want a verb: ports or play"))
	}
	switch os.Args[1] {
	case "ports":
		if err := printPorts(os.Args[2:]); err != nil {
			fail(err)
		}
	case "play":
		code, err := play(os.Args[2:])
		if err != nil {
			fail(err)
		}
		os.Exit(code)
	default:
		fail(errors.Errorf("unknown verb %q", os.Args[1]))
	}
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "kit-2:", err)
	os.Exit(exitFailed)
}

// printPorts prints as many free ports of the loopback interface as its argument says, one a line.
func printPorts(args []string) error {
	if len(args) != 1 {
		return errors.New("ports: want a number")
	}
	count, err := strconv.Atoi(args[0])
	if err != nil {
		return errors.Wrap(err, "ports")
	}
	held := make(map[int]net.Listener, count)
	for range count * portTries {
		if len(held) == count {
			break
		}
		port := firstPort + rand.IntN(portRange)
		if held[port] != nil {
			continue
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		if l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address); err == nil {
			held[port] = l
		}
	}
	if len(held) < count {
		return errors.New("ports: too few are free")
	}
	for port, l := range held {
		_, _ = fmt.Fprintln(os.Stdout, port)
		_ = l.Close()
	}

	return nil
}

// play plays a scenario and returns the exit code.
func play(args []string) (int, error) {
	var o options
	flags := flag.NewFlagSet("play", flag.ContinueOnError)
	scenario := flags.String("scenario", "", "name of the scenario")
	flags.StringVar(&o.store, "store", "", "address of the store")
	flags.StringVar(&o.fronts, "fronts", "", "addresses on which the daemons serve callers")
	flags.StringVar(&o.readies, "readies", "", "addresses on which the daemons say whether they are ready")
	flags.StringVar(&o.pids, "pids", "", "files that hold the process IDs of the daemons")
	recordPath := flags.String("record", "record.txt", "file for what was sent, answered and run")
	flags.BoolVar(&o.trouble, "trouble", true, "play the disruption")
	flags.Uint64Var(&o.seed, "seed", 1, "seed of the load")
	if err := flags.Parse(args); err != nil {
		return 0, errors.Wrap(err, "play")
	}
	run, known := scenarios[*scenario]
	if !known {
		return 0, errors.Errorf("play: unknown scenario %q", *scenario)
	}
	out, err := os.Create(*recordPath)
	if err != nil {
		return 0, errors.Wrap(err, "play")
	}
	defer func() { _ = out.Close() }()
	o.log = newLog(out)
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	defer cancel()
	time.AfterFunc(timeLimit, func() { fail(errors.New("play: took too long")) })
	if err := waitStore(ctx, o.store); err != nil {
		return 0, err
	}
	broken, err := run(ctx, o)
	if err != nil {
		return 0, err
	}
	for _, line := range broken {
		o.log.add("broken", line)
		_, _ = fmt.Fprintln(os.Stdout, "broken:", line)
	}
	if len(broken) > 0 {
		return exitBroken, nil
	}
	_, _ = fmt.Fprintln(os.Stdout, "held")

	return exitHeld, nil
}

// options are the settings of all scenarios.
type options struct {
	store, fronts, readies, pids string
	trouble                      bool
	seed                         uint64
	log                          *eventLog
}

// scenarios are the scenarios by name. Each returns what broke the rule.
var scenarios = map[string]func(context.Context, options) ([]string, error){
	"extra":   playExtra,
	"stop":    playStop,
	"recover": playRecover,
}
