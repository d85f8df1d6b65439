package daemon_test

import (
	"context"
	"sync"
	"time"

	"jacinthferry/client"
	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/reason"

	"github.com/pkg/errors"
)

// submitLoad runs callers that submit repeatedly and counts the outcomes.
type submitLoad struct {
	stop  context.CancelFunc
	group sync.WaitGroup
	mu    sync.Mutex
	// done counts the submits that ran, notRun those refused without running, and unknown those whose outcome
	// is unknown.
	done, notRun, unknown int
	lastError             string
}

func startSubmitLoad(seeds []string, workers int) *submitLoad {
	ctx, stop := context.WithCancel(context.Background())
	s := &submitLoad{stop: stop}
	for range workers {
		c := client.New("zone-a", seeds)
		s.group.Go(func() {
			for ctx.Err() == nil {
				s.submitOnce(c)
				time.Sleep(time.Millisecond)
			}
		})
	}

	return s
}

func (s *submitLoad) submitOnce(c *client.Client) {
	_, err := c.Submit(context.Background(), client.Submit{
		Service: "markers", Body: "inspected", Deadline: c.Deadline(10 * clock.Second), Priority: leg.Routine,
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	var e *client.Error
	switch {
	case err == nil:
		s.done++
	case errors.As(err, &e) && e.Refusal.Run == reason.NotExecuted:
		s.notRun++
		s.lastError = err.Error()
	default:
		s.unknown++
		s.lastError = err.Error()
	}
}

func (s *submitLoad) end() {
	s.stop()
	s.group.Wait()
}
