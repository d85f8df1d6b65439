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
	// grace is the time from the signal to stop to the end of a daemon.
	grace = 3 * clock.Second
	// exitSlack is how much longer than its grace a daemon may run before it is killed.
	exitSlack = 3 * clock.Second
	// bootSpan is how long a process takes until it hears signals. One that comes before ends it as
	// it ends any process.
	bootSpan = 300 * clock.Millisecond
)

// daemon is one entry daemon as a process of its own. Its addresses stay the same at every start.
type daemon struct {
	world    *World
	settings settings.Entry
	binary   string
	file     string
	// front and store are the proxies before and behind it.
	front *proxy.Proxy
	store *proxy.Proxy

	// busy is held while a step starts or stops the process.
	busy sync.Mutex
	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// began is when the process was started.
	began clock.Milli
	// ordered is set while the process is to end.
	ordered bool
}

// newDaemon returns a daemon that is not started.
func newDaemon(ctx context.Context, w *World, n int) (*daemon, error) {
	store, err := proxy.New(ctx, w.storeAddress)
	if err != nil {
		return nil, err
	}
	s := settings.DefaultEntry()
	s.Name, s.Zone, s.StoreAddress = fmt.Sprintf("daemon-%d", n), zone(n), store.Address()
	s.GracePeriod, s.DirectoryTTL, s.RetryBudget.Slack = grace, clock.Second, w.log.Bounds.Slack
	for _, address := range []*string{
		&s.RequestAddress, &s.ReadinessAddress, &s.DirectoryAddress, &s.MetricsAddress, &s.RelayAddress,
	} {
		if *address, err = w.freeAddress(ctx); err != nil {
			return nil, err
		}
	}
	front, err := proxy.New(ctx, s.RequestAddress)
	if err != nil {
		return nil, err
	}

	return &daemon{
		world: w, settings: s, binary: w.options.Binary, file: filepath.Join(w.options.Directory, s.Name+".json"),
		front: front, store: store,
	}, nil
}

// freeAddress returns an address with a port below those that the system gives out, so that a daemon
// gets it again when it restarts.
func (w *World) freeAddress(ctx context.Context) (string, error) {
	for range 100 {
		w.port++
		address := fmt.Sprintf("127.0.0.1:%d", w.port)
		if l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address); err == nil {
			return address, errors.Wrap(l.Close(), "world: cannot free a port")
		}
	}

	return "", errors.New("world: no free port")
}

// write writes the settings file.
func (d *daemon) write() error {
	text, err := json.MarshalIndent(d.settings, "", "  ")
	if err != nil {
		return errors.Wrap(err, "world: cannot encode settings")
	}

	return errors.Wrap(os.WriteFile(d.file, text, 0o600), "world: cannot write settings")
}

// start starts the process.
func (d *daemon) start() error {
	if err := d.write(); err != nil {
		return err
	}
	output, err := os.OpenFile(d.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "world: cannot open a log")
	}
	defer func() { _ = output.Close() }()
	//nolint:gosec // The program is what is tested.
	cmd := exec.CommandContext(context.Background(), d.binary, "entry", "-f", d.file)
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "world: cannot start a daemon")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cmd, d.done, d.ordered, d.began = cmd, make(chan struct{}), false, d.world.now()
	go d.await(cmd, d.done)

	return nil
}

// await takes the end of the process.
func (d *daemon) await(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	d.mu.Lock()
	ordered := d.ordered
	d.mu.Unlock()
	close(done)
	if !ordered {
		now := d.world.now()
		d.world.note(func(l *check.Log) {
			l.Ends = append(l.Ends, check.Trouble{Daemon: d.settings.Name, What: fmt.Sprint(err), From: now, To: now})
		})
	}
}

// signal sends a signal to the process.
func (d *daemon) signal(s os.Signal, ends bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return
	}
	d.ordered = d.ordered || ends
	// A process that has just ended takes no signal.
	_ = d.cmd.Process.Signal(s)
}

// kill ends the process at once.
func (d *daemon) kill() {
	d.signal(syscall.SIGKILL, true)
	d.wait(exitSlack)
}

// wait returns true when the process has ended within a span.
func (d *daemon) wait(span clock.Milli) bool {
	d.mu.Lock()
	done := d.done
	d.mu.Unlock()
	if done == nil {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(span.Duration()):
		return false
	}
}

// stop asks the process to end and notes how it did.
func (d *daemon) stop() check.Stop {
	s := check.Stop{Daemon: d.settings.Name, From: d.world.now()}
	d.signal(syscall.SIGTERM, true)
	if !d.wait(grace + exitSlack) {
		d.kill()
	}
	s.To = d.world.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.From > d.began+bootSpan {
		s.Exit = d.cmd.ProcessState.ExitCode()
	}

	return s
}
