package world

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
	// gracePeriod is the time from the signal to stop to the end of a daemon.
	gracePeriod = 3 * clock.Second
	// exitSlack is how much longer than its grace a daemon may run before it is killed.
	exitSlack = 3 * clock.Second
	// bootTime is how long a process takes until it hears signals. One that comes before ends it as
	// it ends any process.
	bootTime = 300 * clock.Millisecond
)

// daemon is one entry daemon as a process of its own. Its addresses stay the same at every start.
type daemon struct {
	world        *World
	settings     settings.Entry
	binary       string
	settingsFile string
	// frontProxy and store are the proxies before and behind it.
	frontProxy *proxy.Proxy
	storeProxy *proxy.Proxy

	// stepMu is held while a step starts or stops the process.
	stepMu sync.Mutex
	mu     sync.Mutex
	cmd    *exec.Cmd
	done   chan struct{}
	// startedAt is when the process was started.
	startedAt clock.Milli
	// exitExpected is set while the process is to end.
	exitExpected bool
}

// newDaemon returns a daemon that is not started.
func newDaemon(ctx context.Context, w *World, n int) (*daemon, error) {
	store, err := proxy.New(ctx, w.storeAddress)
	if err != nil {
		return nil, err
	}
	s := settings.DefaultEntry()
	s.Name, s.Zone, s.Store = fmt.Sprintf("daemon-%d", n), zoneName(n), store.Address()
	s.Grace, s.Keep, s.Repeats.Slack = gracePeriod, clock.Second, w.history.Bounds.Slack
	for _, address := range []*string{&s.Front, &s.Ready, &s.Directory, &s.Metrics, &s.Relay} {
		if *address, err = w.freeAddress(ctx); err != nil {
			return nil, err
		}
	}
	front, err := proxy.New(ctx, s.Front)
	if err != nil {
		return nil, err
	}

	return &daemon{
		world: w, settings: s, binary: w.options.Binary, settingsFile: filepath.Join(w.options.Directory, s.Name+".json"),
		frontProxy: front, storeProxy: store,
	}, nil
}

// freeAddress returns an address with a port below those that the system gives out, so that a daemon
// gets it again when it restarts.
func (w *World) freeAddress(ctx context.Context) (string, error) {
	for range 100 {
		w.lastPort++
		address := fmt.Sprintf("127.0.0.1:%d", w.lastPort)
		if l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address); err == nil {
			return address, errors.Wrap(l.Close(), "world: cannot free a port")
		}
	}

	return "", errors.New("world: no free port")
}

// writeSettings writes the settings file.
func (d *daemon) writeSettings() error {
	text, err := json.MarshalIndent(d.settings, "", "  ")
	if err != nil {
		return errors.Wrap(err, "world: cannot encode settings")
	}

	return errors.Wrap(os.WriteFile(d.settingsFile, text, 0o600), "world: cannot write settings")
}

// start starts the process.
func (d *daemon) start() error {
	if err := d.writeSettings(); err != nil {
		return err
	}
	output, err := os.OpenFile(d.settingsFile+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "world: cannot open a log")
	}
	defer func() { _ = output.Close() }()
	//nolint:gosec // The program is what is tested.
	cmd := exec.CommandContext(context.Background(), d.binary, "entry", "-f", d.settingsFile)
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "world: cannot start a daemon")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cmd, d.done, d.exitExpected, d.startedAt = cmd, make(chan struct{}), false, d.world.now()
	go d.awaitExit(cmd, d.done)

	return nil
}

// awaitExit takes the end of the process.
func (d *daemon) awaitExit(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	d.mu.Lock()
	ordered := d.exitExpected
	d.mu.Unlock()
	close(done)
	if !ordered {
		now := d.world.now()
		d.world.record(func(l *check.Log) {
			l.Ends = append(l.Ends, check.Trouble{Daemon: d.settings.Name, What: fmt.Sprint(err), From: now, To: now})
		})
	}
}

// signal sends a signal to the process.
func (d *daemon) signal(s os.Signal, terminates bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return
	}
	d.exitExpected = d.exitExpected || terminates
	// A process that has just ended takes no signal.
	_ = d.cmd.Process.Signal(s)
}

// kill ends the process at once.
func (d *daemon) kill() {
	d.signal(syscall.SIGKILL, true)
	d.exitedWithin(exitSlack)
}

// exitedWithin returns true when the process has ended within a span.
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

// stop asks the process to end and notes how it did.
func (d *daemon) stop() check.Stop {
	s := check.Stop{Daemon: d.settings.Name, From: d.world.now()}
	d.signal(syscall.SIGTERM, true)
	if !d.exitedWithin(gracePeriod + exitSlack) {
		d.kill()
	}
	s.To = d.world.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.From > d.startedAt+bootTime {
		s.Exit = d.cmd.ProcessState.ExitCode()
	}

	return s
}
