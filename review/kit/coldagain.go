package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// coldRate is how many requests a second a cold backend tolerates, and coldSpan how long it is cold.
	coldRate = 10
	coldSpan = 3 * time.Second
	// warmupFactor and warmupSlack are the bounds of the rule.
	warmupFactor = 1.5
	warmupSlack  = 5
	// crashRate is how many requests in a second crash a cold backend: twice what the rule allows.
	crashRate = 40
	// printRate is how many requests that may run once come in a second.
	printRate = 60
	// evacuation is how long a zone is out.
	evacuation = 5 * time.Second
	// shardCount is how many shards the route gathers from, and queryRate how many requests a second come.
	shardCount = 4
	queryRate  = 90
)

// playColdAgain evacuates a zone, whose backends are cold when it is taken back, as their entries say.
func playColdAgain(ctx context.Context, dir, record string, trouble bool) (verdict, error) {
	zones := []string{"nl-midden-a", "nl-midden-b", "nl-midden-c"}
	f, err := newFleet(ctx, dir, record, trouble, zones)
	if err != nil {
		return verdict{}, err
	}
	backends, err := f.startShards(zones)
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
	done.Go(func() { c.stream(traffic, queryRate, http.MethodGet, "/zoek/x", 800*time.Millisecond) })
	done.Go(func() { c.stream(traffic, printRate, http.MethodPost, "/druk/x", 3*time.Second) })
	time.Sleep(3 * time.Second)
	// A backend that starts during traffic is cold, too: the daemons keep to its bound.
	late, err := f.startBackend(shardBackend(0, "late", zones[2]), coldSpan)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(5 * time.Second)
	if trouble {
		f.store.put("op/evacuate/"+zones[0], []byte("{}"))
		f.logf("operator evacuates %s", zones[0])
	}
	time.Sleep(evacuation)
	if trouble {
		for _, b := range backends {
			if b.zone == zones[0] {
				b.chill(coldSpan)
				f.logf("backend %s is cold for %v, as its entry says", b.id, coldSpan)
			}
		}
		f.store.remove("op/evacuate/" + zones[0])
		f.logf("operator takes the evacuation of %s back", zones[0])
	}
	time.Sleep(6 * time.Second)
	stop()
	done.Wait()

	return f.judgeCold(c.results(), late)
}

// shardBackend returns a backend of a shard.
func shardBackend(shard int, name, zone string) backendOptions {
	return backendOptions{
		id: fmt.Sprintf("i-%d-%s", shard, name), service: fmt.Sprintf("proefbank%d", shard), zone: zone, version: "v1",
		slots: 2, work: 12 * time.Millisecond, crashRate: crashRate,
	}
}

// startShards starts two backends of each shard, in two zones, and writes the configuration.
func (f *fleet) startShards(zones []string) ([]*backend, error) {
	var list []*backend
	query := routeConfig{
		Name: "r-zoek", Host: host, Prefix: "/zoek/", Kind: "safe", Timeout: 800, Slo: 120, Priority: 1, Attempts: 2,
		TopK: 5, Least: 0.75,
	}
	var services []serviceConfig
	for n := range shardCount {
		for _, zone := range zones[:2] {
			b, err := f.startBackend(shardBackend(n, zone, zone), 0)
			if err != nil {
				return nil, err
			}
			list = append(list, b)
		}
		query.Gather = append(query.Gather, list[len(list)-1].service)
		services = append(services, serviceConfig{
			Name: list[len(list)-1].service, HealthPath: healthPath, MaxConns: 26, Protocol: "h1",
			WarmupS: coldSpan.Seconds(), WarmupPerS: coldRate,
		})
	}
	order := printRoute("r-druk", "/druk/")
	order.Kind, order.Service = "unsafe", services[0].Name
	_, err := f.writeConfig(func(c *operatorConfig) { c.Routes, c.Services = []routeConfig{query, order}, services })

	return list, err
}

// judgeCold counts the requests that each cold backend got in any second. Only those that a client sent in the same
// second count.
func (f *fleet) judgeCold(results []result, late *backend) (verdict, error) {
	sent := make(map[string]time.Time)
	served, lost := 0, 0
	for _, r := range results {
		sent[r.ID] = r.Sent
		switch {
		case r.Status == http.StatusOK:
			served++
		case r.Method == http.MethodPost:
			lost++
		}
	}
	list := make(map[string][]arrival)
	for _, a := range f.allArrivals() {
		if a.Cold && !a.Misdirected {
			list[a.Backend] = append(list[a.Backend], a)
		}
	}
	worst, worstID, lateMost := 0, "", 0
	for id, arrivals := range list {
		for _, first := range arrivals {
			n := 0
			for _, a := range arrivals {
				if from := sent[a.ID]; !from.Before(first.At) && a.At.Sub(first.At) < time.Second {
					n++
				}
			}
			if n > worst {
				worst, worstID = n, id
			}
			if id == late.id {
				lateMost = max(lateMost, n)
			}
		}
	}
	bound := coldRate*warmupFactor + warmupSlack

	return f.conclude(float64(worst) > bound, "a cold backend (%s) got %d requests in one second, %.0f allowed, and %d "+
		"crashed; the backend that started cold got %d; %d of %d requests served, of those "+
		"that may run once %d not",
		worstID, worst, bound, f.crashCount(), lateMost, served, len(results), lost)
}
