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

// submits are callers that submit without pause and count the outcomes.
type submits struct {
	stop  context.CancelFunc
	group sync.WaitGroup
	mu    sync.Mutex
	// done is how many were run, and not and unknown how many were refused so.
	done, not, unknown int
	last               string
}

func startSubmits(seeds []string, workers int) *submits {
	ctx, stop := context.WithCancel(context.Background())
	s := &submits{stop: stop}
	for range workers {
		c := client.New("zone-a", seeds)
		s.group.Go(func() {
			for ctx.Err() == nil {
				s.one(c)
				time.Sleep(time.Millisecond)
			}
		})
	}

	return s
}

func (s *submits) one(c *client.Client) {
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
		s.not++
		s.last = err.Error()
	default:
		s.unknown++
		s.last = err.Error()
	}
}

func (s *submits) end() {
	s.stop()
	s.group.Wait()
}
