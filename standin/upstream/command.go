package upstream

import (
	"encoding/json"
	"net/http"

	"jacinthferry/core/clock"
	"jacinthferry/core/route"
	"jacinthferry/standin/command"

	"github.com/pkg/errors"
)

// SetFaults replaces the injected faults.
func (u *Upstream) SetFaults(f Faults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults, u.faultsSetAt = f, u.now()
}

// Crash closes all connections and refuses new ones for the given time. The upstream then serves
// cold as a new incarnation.
func (u *Upstream) Crash(down clock.Milli) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.crash(down)
}

func (u *Upstream) crash(down clock.Milli) {
	u.counts.Crashes++
	u.starts++
	u.running, u.legsSinceCold, u.coldReported, u.draining = 0, 0, 0, false
	u.lastLoadAt = 0
	u.connections.closeAll(u.now() + down)
}

// Stop closes all connections and refuses new ones for an hour, or until a start or another crash.
func (u *Upstream) Stop() { u.Crash(clock.Hour) }

// Start accepts connections again after a crash or stop.
func (u *Upstream) Start() { u.connections.setRefusedUntil(0) }

// ResetWarmup makes the upstream cold again in the same incarnation, without reporting it by itself.
func (u *Upstream) ResetWarmup() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.legsSinceCold, u.coldReported = 0, 0
}

// Drain makes the upstream report that it is draining.
func (u *Upstream) Drain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining, u.drainStart = true, u.now()
}

// TakeOutOfService makes the upstream count new legs as after the start of a drain, but report nothing. It is for an
// availability zone that operators took out of service.
func (u *Upstream) TakeOutOfService() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.drainStart = u.now()
}

// ReturnToService ends a drain, whether it was reported or not.
func (u *Upstream) ReturnToService() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining, u.drainStart = false, 0
}

// BlackholeConnections makes the open connections drop all data for good. New connections work.
func (u *Upstream) BlackholeConnections() { u.connections.blackhole() }

// commandRequest is the body of a request to the command endpoint.
type commandRequest struct {
	Command   string               `json:"do"`
	Down      clock.Milli          `json:"down,omitempty"`
	Faults    Faults               `json:"faults"`
	Snapshots []route.HeldSnapshot `json:"snapshots,omitempty"`
}

// CommandHandler returns the handler of the command endpoint: GET /counts and POST /do.
func (u *Upstream) CommandHandler() http.Handler {
	return command.Handler(func() any { return u.Counts() }, u.execute)
}

func (u *Upstream) execute(body []byte) error {
	var request commandRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return errors.Wrap(err, "upstream: cannot decode command")
	}
	switch request.Command {
	case "faults":
		u.SetFaults(request.Faults)
	case "hold":
		u.SetSnapshots(request.Snapshots...)
	case "crash":
		u.Crash(request.Down)
	case "stop":
		u.Stop()
	case "start":
		u.Start()
	case "chill":
		u.ResetWarmup()
	case "drain":
		u.Drain()
	case "out":
		u.TakeOutOfService()
	case "back":
		u.ReturnToService()
	case "silence":
		u.BlackholeConnections()
	default:
		return errors.New("upstream: invalid do: want faults, hold, crash, stop, start, chill, drain, out, back or silence")
	}

	return nil
}
