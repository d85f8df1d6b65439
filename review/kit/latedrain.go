package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// drainTime is how long after its drain was acknowledged a backend may get requests, and leaveAfter when it ends.
	drainTime  = 3 * time.Second
	leaveAfter = 4500 * time.Millisecond
	// rounds is how often backends turn slow, each time for slowSpan, by slowFactor. releaseAfter is how long after that
	// the first of releaseCount others is replaced, releaseGap the time until the next one, and roundGap the time between
	// two rounds.
	rounds       = 4
	slowSpan     = 8 * time.Second
	slowFactor   = 12
	releaseAfter = 2500 * time.Millisecond
	releaseCount = 3
	releaseGap   = time.Second
	roundGap     = 5 * time.Second
	// slowCount of orderBackends backends turn slow, which is a share of less than 0.4.
	slowCount     = 3
	orderBackends = 8
	// orderWork is how long a request takes.
	orderWork = 120 * time.Millisecond
	// longWait is how long clients wait, and the timeout of the route.
	longWait = 6 * time.Second
	// busyRate is how many requests a second come: 0.86 of what the backends bear.
	busyRate = 230
)

// playLateDrain slows backends of a service down and meanwhile replaces others.
func playLateDrain(ctx context.Context, dir, record string, trouble bool) (verdict, error) {
	zones := []string{"nl-midden-a", "nl-midden-b", "nl-midden-c"}
	f, err := newFleet(ctx, dir, record, trouble, zones)
	if err != nil {
		return verdict{}, err
	}
	var list []*backend
	started := 0
	start := func() error {
		b, err := f.startBackend(backendOptions{
			id: fmt.Sprintf("i-%d", started), service: printService, zone: zones[started%len(zones)], version: "v1", slots: 4,
			work: orderWork, silentLoad: true,
		}, 0)
		list, started = append(list, b), started+1

		return err
	}
	for range orderBackends {
		if err := start(); err != nil {
			return verdict{}, err
		}
	}
	_, err = f.writeConfig(func(c *operatorConfig) {
		c.Routes = []routeConfig{printRoute("r-druk", "/druk/")}
		c.Routes[0].Kind, c.Routes[0].Timeout = "unsafe", int(longWait.Milliseconds())
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
	var done sync.WaitGroup
	done.Go(func() { c.stream(traffic, busyRate, http.MethodPost, "/druk/x", longWait) })
	time.Sleep(2 * time.Second)
	drains := make(map[string]time.Time)
	for range rounds {
		began := time.Now()
		slow := append([]*backend(nil), list[releaseCount:releaseCount+slowCount]...)
		for _, b := range slow {
			if trouble {
				b.slowDown(slowFactor)
				f.logf("backend %s turns slow", b.id)
			}
		}
		time.Sleep(releaseAfter)
		for range releaseCount {
			if err := start(); err != nil {
				return verdict{}, err
			}
			leaving := list[0]
			list = list[1:]
			drains[leaving.id] = leaving.drain()
			f.logf("backend %s drains, acknowledged", leaving.id)
			time.AfterFunc(leaveAfter, leaving.stop)
			time.Sleep(releaseGap)
		}
		time.Sleep(time.Until(began.Add(slowSpan)))
		for _, b := range slow {
			b.slowDown(1)
		}
		time.Sleep(roundGap)
	}
	stop()
	done.Wait()

	return f.judgeDrain(c.results(), drains)
}

// judgeDrain counts the requests that reached a backend too late after its drain was acknowledged.
func (f *fleet) judgeDrain(results []result, drains map[string]time.Time) (verdict, error) {
	late, most, reached := 0, time.Duration(0), 0
	ran := make(map[string]bool)
	for _, a := range f.allArrivals() {
		at, drained := drains[a.Backend]
		if !drained || a.Misdirected || a.At.Before(at) {
			continue
		}
		reached++
		if after := a.At.Sub(at); after > drainTime {
			late++
			ran[a.ID] = a.Ran
			most = max(most, after)
			f.logf("request %s reached %s %.3f s after its drain was acknowledged", a.ID, a.Backend, after.Seconds())
		}
	}
	served, lost := 0, 0
	for _, r := range results {
		switch {
		case r.Status == http.StatusOK:
			served++
		case ran[r.ID]:
			lost++
		}
	}

	return f.conclude(late > 0, "%d requests reached a backend later than %v after its drain was acknowledged, the last "+
		"one %.2f s after it; %d of them ran there and were lost; %d came after an acknowledgement in all; %d of %d "+
		"requests served", late, drainTime, most.Seconds(), lost, reached, served, len(results))
}
