package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	// cutSpan is how long the path of one daemon to the store is cut.
	cutSpan = 5500 * time.Millisecond
	// addedRoutes is how many routes the configuration has besides the first ones, and listedShards how many shards
	// each of them gathers from.
	addedRoutes  = 390
	listedShards = 20
	// stormCount changes of an idle route come, one each stormGap.
	stormCount = 25
	stormGap   = 60 * time.Millisecond
	// contact is the time after which a machine is in touch again, and applyTime that in which it has to apply a
	// configuration.
	contact   = 4 * time.Second
	applyTime = 3 * time.Second
	// probeGap is the time between two requests to each daemon on the route that was added last.
	probeGap = 200 * time.Millisecond
	// printService is a service whose requests go to one backend.
	printService = "herdruk"
	// watchedSpan is how long the daemons are watched after the cut began.
	watchedSpan = 26 * time.Second
)

// playStuckWatch changes a large configuration in quick succession while one daemon is cut off from the store.
func playStuckWatch(ctx context.Context, dir, record string, trouble bool) (verdict, error) {
	zones := []string{"nl-midden-a", "nl-midden-b", "nl-midden-c"}
	f, err := newFleet(ctx, dir, record, trouble, zones)
	if err != nil {
		return verdict{}, err
	}
	if err := f.startLargeDeployment(zones); err != nil {
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
		c.stream(traffic, 30, http.MethodGet, "/druk/x", time.Second)
		close(done)
	}()
	time.Sleep(2 * time.Second)
	began := time.Now()
	victim := f.daemons[0]
	if trouble {
		victim.link.setCut(true)
		f.logf("%s is partitioned from the store", victim.name)
	}
	time.Sleep(500 * time.Millisecond)
	acknowledged, target, err := f.storm()
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(time.Until(began.Add(cutSpan)))
	if trouble {
		victim.link.setCut(false)
		f.logf("%s reaches the store again", victim.name)
	}
	for time.Since(began) < watchedSpan {
		for _, d := range f.daemons {
			c.send(d.front, http.MethodGet, target, time.Second)
		}
		time.Sleep(probeGap)
	}
	stop()
	<-done
	from := began.Add(cutSpan + contact)
	if later := acknowledged.Add(applyTime); later.After(from) {
		from = later
	}

	return f.judgeStuck(c.results(), victim, from)
}

// startLargeDeployment starts two backends of each service and writes a configuration with many routes.
func (f *fleet) startLargeDeployment(zones []string) error {
	names := []string{printService}
	var shards []string
	for n := range listedShards {
		shards = append(shards, fmt.Sprintf("proefbank%d", n))
	}
	names = append(names, shards...)
	var services []serviceConfig
	for _, name := range names {
		for n, zone := range zones[:2] {
			o := backendOptions{
				id: fmt.Sprintf("i-%s-%d", name, n), service: name, zone: zone, version: "v1", slots: 4, work: 5 * time.Millisecond,
			}
			if _, err := f.startBackend(o, 0); err != nil {
				return err
			}
		}
		services = append(services, serviceConfig{Name: name, HealthPath: healthPath, MaxConns: 100, Protocol: "h1"})
	}
	routes := []routeConfig{printRoute("r-druk", "/druk/")}
	for n := range addedRoutes {
		routes = append(routes, routeConfig{
			Name: fmt.Sprintf("r-added%d", n), Host: host, Prefix: fmt.Sprintf("/added%d/", n), Kind: "safe", Timeout: 800,
			Slo: 120, Priority: 1, Attempts: 2, TopK: 50, Least: 0.89, Gather: shards,
		})
	}
	_, err := f.writeConfig(func(c *operatorConfig) { c.Routes, c.Services = routes, services })

	return err
}

// printRoute returns a route to one backend.
func printRoute(name, prefix string) routeConfig {
	return routeConfig{
		Name: name, Host: host, Prefix: prefix, Kind: "safe", Timeout: 3000, Slo: 500, Priority: 2, Service: printService,
		Attempts: 2,
	}
}

// storm changes a route that no client calls in quick succession, and then adds one that clients call. It returns when
// that change was acknowledged and a target on the route.
func (f *fleet) storm() (time.Time, string, error) {
	for n := range stormCount {
		idle := fmt.Sprintf("stil%d", n)
		_, err := f.writeConfig(func(c *operatorConfig) {
			if n > 0 {
				c.Routes = c.Routes[:len(c.Routes)-1]
			}
			c.Routes = append(c.Routes, printRoute("r-"+idle, "/"+idle+"/"))
		})
		if err != nil {
			return time.Time{}, "", err
		}
		time.Sleep(stormGap)
	}
	at, err := f.writeConfig(func(c *operatorConfig) {
		c.Routes = append(c.Routes, printRoute("r-nieuw", "/nieuw/"))
	})

	return at, "/nieuw/x", err
}

// judgeStuck counts the requests sent after an instant that were answered as if the last route were not there.
func (f *fleet) judgeStuck(results []result, victim *daemon, from time.Time) (verdict, error) {
	stale, asked, others, served := 0, 0, 0, 0
	var last time.Time
	for _, r := range results {
		if r.Status == http.StatusOK {
			served++
		}
		if r.Sent.Before(from) {
			continue
		}
		if r.Daemon == victim.name {
			asked++
		}
		switch {
		case r.Status != http.StatusNotFound:
		case r.Daemon == victim.name:
			stale++
			last = r.Sent
		default:
			others++
		}
	}
	span := time.Duration(0)
	if stale > 0 {
		span = last.Sub(from)
	}

	return f.conclude(stale+others > 0, "%s answered %d of %d requests with 404 though their route was in force, the "+
		"last one %.1f s after it was in touch again; other daemons %d; %d of %d requests served",
		victim.name, stale, asked, span.Seconds(), others, served, len(results))
}
