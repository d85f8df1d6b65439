package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// rolloutSpan is the time that the operators give a version move.
	rolloutSpan = 16 * time.Second
	// badShare is the share of its requests that the bad version fails.
	badShare = 0.5
	// canaryShare and canarySlack bound how many requests a bad version may get.
	canaryShare = 0.1
	canarySlack = 50
	// orderRate is how many requests a second go to the service.
	orderRate = 90
	// printers is how many backends each version has.
	printers = 4
	// revertAfter is when the second operator orders the version that ran before, after the first order.
	revertAfter = time.Second
)

// playRevert orders a move to a bad version, and a second later a move back to the version that ran before.
func playRevert(ctx context.Context, dir, record string, trouble bool) (verdict, error) {
	zones := []string{"nl-midden-a", "nl-midden-b", "nl-midden-c"}
	f, err := newFleet(ctx, dir, record, trouble, zones)
	if err != nil {
		return verdict{}, err
	}
	if err := f.startVersion("v1", zones, nil); err != nil {
		return verdict{}, err
	}
	_, err = f.writeConfig(func(c *operatorConfig) {
		c.Routes = []routeConfig{printRoute("r-druk", "/druk/")}
		c.Routes[0].Kind = "unsafe"
		c.Services = []serviceConfig{{Name: printService, HealthPath: healthPath, MaxConns: 100, Protocol: "h1"}}
	})
	if err != nil {
		return verdict{}, err
	}
	if err := f.launch(); err != nil {
		return verdict{}, err
	}
	c := newClients(f)
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() {
		c.stream(traffic, orderRate, http.MethodPost, "/druk/x", 3*time.Second)
		close(done)
	}()
	time.Sleep(4 * time.Second)
	if err := f.startVersion("v2", zones, func() bool { return rand.Float64() < badShare }); err != nil {
		return verdict{}, err
	}
	ordered := time.Now()
	if err := f.orderRollout("v2"); err != nil {
		return verdict{}, err
	}
	time.Sleep(revertAfter)
	if trouble {
		if err := f.orderRollout("v1"); err != nil {
			return verdict{}, err
		}
	}
	for state := ""; time.Since(ordered) < rolloutSpan; time.Sleep(50 * time.Millisecond) {
		if now := f.store.value("status/rollout/herdruk"); now != state {
			state = now
			f.logf("status/rollout/herdruk is %s", state)
		}
	}
	stop()
	<-done

	return f.judgeExposure(c.results(), ordered)
}

// startVersion starts the backends of a version.
func (f *fleet) startVersion(version string, zones []string, fails func() bool) error {
	for n := range printers {
		_, err := f.startBackend(backendOptions{
			id: fmt.Sprintf("i-%s-%d", version, n), service: printService, zone: zones[n%len(zones)], version: version, slots: 4,
			work: 20 * time.Millisecond, fails: fails,
		}, 0)
		if err != nil {
			return err
		}
	}

	return nil
}

// orderRollout orders a version move of the service.
func (f *fleet) orderRollout(version string) error {
	text, err := json.Marshal(map[string]any{
		"service": printService, "targetVersion": version, "durationS": rolloutSpan.Seconds(),
	})
	if err != nil {
		return errors.Wrap(err, "kit: cannot encode an order")
	}
	f.store.put("op/rollout/herdruk", text)
	f.logf("operator orders herdruk to move to %s within %v", version, rolloutSpan)

	return nil
}

// judgeExposure counts the requests that reached the bad version between its order and the deadline of that.
func (f *fleet) judgeExposure(results []result, ordered time.Time) (verdict, error) {
	total, bad, lost := 0, 0, 0
	failed := make(map[string]bool)
	for _, a := range f.allArrivals() {
		if a.Misdirected || a.At.Before(ordered) || a.At.Sub(ordered) > rolloutSpan {
			continue
		}
		total++
		if a.Version == "v2" {
			bad++
			failed[a.ID] = failed[a.ID] || !a.OK
		}
	}
	for _, r := range results {
		if failed[r.ID] && r.Status != http.StatusOK {
			lost++
		}
	}
	bound := canaryShare*float64(total) + canarySlack

	return f.conclude(float64(bad) > bound, "the bad version got %d of %d requests, %.0f allowed; "+
		"%d requests that may run once ran there and failed", bad, total, bound, lost)
}
