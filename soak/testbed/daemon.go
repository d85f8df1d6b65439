package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec" //nolint:depguard // The daemons that are tested run apart.
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"jacinthferry/core/clock"
	"jacinthferry/io/settings"
	"jacinthferry/soak/check"
	"jacinthferry/soak/proxy"
)

const (
	// gracePeriod is the time that a daemon has between the stop signal and its exit.
	gracePeriod = 3 * clock.Second
	// exitSlack is how much longer than the grace period a daemon may run before it is killed.
	exitSlack = 3 * clock.Second
	// bootTime is the time until a new process handles signals. An earlier signal terminates it by default.
	bootTime = 300 * clock.Millisecond
)

// daemon is an entry daemon that runs as a separate process. Its addresses stay the same across restarts.
type daemon struct {
	testbed      *Testbed
	settings     settings.Entry
	binary       string
	settingsFile string
	// frontProxy forwards callers to the daemon, and storeProxy the daemon to the store.
	frontProxy *proxy.Proxy
	storeProxy *proxy.Proxy

	// stepMu is held while a step starts or stops the process.
	stepMu sync.Mutex
	mu     sync.Mutex
	cmd    *exec.Cmd
	done   chan struct{}
	// startedAt is the time of the last start of the process.
	startedAt clock.Milli
	// exitExpected is set once the process has been told to exit.
	exitExpected bool
}

// newDaemon returns a daemon that has not been started.
func newDaemon(ctx context.Context, tb *Testbed, n int) (*daemon, error) {
	store, err := proxy.New(ctx, tb.storeAddress)
	if err != nil {
		return nil, err
	}
	s := settings.DefaultEntry()
	s.Name, s.Zone, s.StoreAddress = fmt.Sprintf("daemon-%d", n), zoneName(n), store.Address()
	s.GracePeriod, s.DirectoryTTL, s.RetryBudget.Slack = gracePeriod, clock.Second, tb.history.Bounds.RetrySlack
	for _, address := range []*string{
		&s.RequestAddress, &s.ReadinessAddress, &s.DirectoryAddress, &s.MetricsAddress, &s.RelayAddress,
	} {
		if *address, err = tb.freeAddress(ctx); err != nil {
			return nil, err
		}
	}
	front, err := proxy.New(ctx, s.RequestAddress)
	if err != nil {
		return nil, err
	}

	return &daemon{
		testbed: tb, settings: s, binary: tb.options.Binary,
		settingsFile: filepath.Join(tb.options.Directory, s.Name+".json"),
		frontProxy:   front, storeProxy: store,
	}, nil
}

// freeAddress returns a loopback address whose port lies below the ephemeral range, so that a
// daemon gets the same port again after a restart.
func (tb *Testbed) freeAddress(ctx context.Context) (string, error) {
	for range 100 {
		tb.lastPort++
		address := fmt.Sprintf("127.0.0.1:%d", tb.lastPort)
		if l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address); err == nil {
			return address, errors.Wrap(l.Close(), "testbed: cannot close the listener that probed a port")
		}
	}

	return "", errors.New("testbed: no free port among the next 100")
}

func (d *daemon) writeSettings() error {
	text, err := json.MarshalIndent(d.settings, "", "  ")
	if err != nil {
		return errors.Wrap(err, "testbed: cannot encode settings")
	}

	return errors.Wrap(os.WriteFile(d.settingsFile, text, 0o600), "testbed: cannot write the settings file")
}

// start writes the settings and starts the process. Its output is appended to a log file.
func (d *daemon) start() error {
	if err := d.writeSettings(); err != nil {
		return err
	}
	output, err := os.OpenFile(d.settingsFile+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "testbed: cannot open the log file of a daemon")
	}
	defer func() { _ = output.Close() }()
	//nolint:gosec // The program is what is tested.
	cmd := exec.CommandContext(context.Background(), d.binary, "entry", "-f", d.settingsFile)
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "testbed: cannot start a daemon process")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cmd, d.done, d.exitExpected, d.startedAt = cmd, make(chan struct{}), false, d.testbed.now()
	go d.awaitExit(cmd, d.done)

	return nil
}

// awaitExit waits for the process to exit, and records an exit that was not expected.
func (d *daemon) awaitExit(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	d.mu.Lock()
	ordered := d.exitExpected
	d.mu.Unlock()
	close(done)
	if !ordered {
		now := d.testbed.now()
		d.testbed.record(func(h *check.History) {
			h.UnexpectedExits = append(h.UnexpectedExits, check.Disturbance{
				Daemon: d.settings.Name, Cause: fmt.Sprint(err), From: now, To: now,
			})
		})
	}
}

// signal sends a signal to the process. If it terminates the process, the exit is expected.
func (d *daemon) signal(s os.Signal, terminates bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return
	}
	d.exitExpected = d.exitExpected || terminates
	// The process may have exited just now, so the error is ignored.
	_ = d.cmd.Process.Signal(s)
}

// kill kills the process and waits for its exit.
func (d *daemon) kill() {
	d.signal(syscall.SIGKILL, true)
	d.exitedWithin(exitSlack)
}

// exitedWithin waits for the process to exit and reports whether it does so before the timeout.
func (d *daemon) exitedWithin(timeout clock.Milli) bool {
	d.mu.Lock()
	done := d.done
	d.mu.Unlock()
	if done == nil {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(timeout.Duration()):
		return false
	}
}

// stop sends SIGTERM, waits for the process to exit, kills it if it takes too long, and returns a
// record of the stop. The exit status counts only if the process was ready to handle signals.
func (d *daemon) stop() check.Stop {
	s := check.Stop{Daemon: d.settings.Name, From: d.testbed.now()}
	d.signal(syscall.SIGTERM, true)
	if !d.exitedWithin(gracePeriod + exitSlack) {
		d.kill()
	}
	s.To = d.testbed.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.From > d.startedAt+bootTime {
		s.ExitCode = d.cmd.ProcessState.ExitCode()
	}

	return s
}
