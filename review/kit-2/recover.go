package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"jacinthferry/standin/registered"
)

// The small deployment of the scenario "recover": one gathering route over shards of two upstreams each.
const (
	recoverShards  = 20
	recoverTop     = 10
	recoverRate    = 110.0
	recoverWork    = 60 * time.Millisecond
	recoverTimeout = 800 * time.Millisecond
	// recoverCalm is the time of traffic before the disruption, and recoverDown how long the upstreams of a shard are
	// down. The next shard follows recoverGap after the first.
	recoverCalm    = 20 * time.Second
	recoverDown    = 4500 * time.Millisecond
	recoverGap     = 6 * time.Second
	recoverCrashes = 2
	// entryLifetime is how long the entry of a silent upstream stays: three times heartbeatMs.
	entryLifetime = 3600 * time.Millisecond
	// recoverGrace is the bound recoveryS, and recoverSpan the time after it in which requests are counted.
	recoverGrace = 12 * time.Second
	recoverSpan  = 15 * time.Second
	// recoverLeast is the least share that is to be served.
	recoverLeast = 0.25
)

// phase says when a request was sent.
type phase int

const (
	beforeFault phase = iota
	recovering
	recovered
	phases
)

// tally counts the requests of each phase and how they were answered.
type tally struct {
	mu      sync.Mutex
	phase   phase
	answers [phases]map[string]int
}

func newTally() *tally {
	t := &tally{}
	for i := range t.answers {
		t.answers[i] = make(map[string]int)
	}

	return t
}

func (t *tally) enter(p phase) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.phase = p
}

func (t *tally) current() phase {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.phase
}

func (t *tally) count(p phase, how string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers[p][how]++
}

// served returns the share of the requests of a phase that were served.
func (t *tally) served(p phase) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := 0
	for _, n := range t.answers[p] {
		all += n
	}

	return float64(t.answers[p]["200"]) / float64(max(1, all))
}

// startShards starts the upstreams of all shards, and returns them by shard.
func startShards(ctx context.Context, o options) ([][]*upstream, configRecord, error) {
	zones := []string{"a", "b", "c"}
	config := configRecord{Version: 1, Limits: smallLimits()}
	route := routeRecord{
		Name: "r-search", Host: host, Prefix: "/search/", Kind: "safe", Priority: 1, Attempts: 2,
		TimeoutMs: int(recoverTimeout.Milliseconds()), ObjectiveMs: 120, Top: recoverTop, MinCoverage: 0.89,
	}
	var shards [][]*upstream
	for i := range recoverShards {
		name := fmt.Sprintf("shard-%d", i)
		route.Shards = append(route.Shards, name)
		config.Services = append(config.Services, serviceRecord{Name: name, HealthPath: "/health", MaxConns: 26, WarmupS: 3})
		var replicas []*upstream
		for k := range 2 {
			zone := zones[(i+k)%len(zones)]
			u := newShardUpstream(o, fmt.Sprintf("i-%s-%s", name, zone), name, zone)
			if err := u.start(ctx); err != nil {
				return nil, config, err
			}
			if err := u.register(ctx, o.store); err != nil {
				return nil, config, err
			}
			replicas = append(replicas, u)
		}
		shards = append(shards, replicas)
	}
	config.Routes = []routeRecord{route}

	return shards, config, nil
}

func newShardUpstream(o options, id, service, zone string) *upstream {
	return &upstream{
		id: id, service: service, zone: zone, slots: 4, queue: 16, work: recoverWork, log: o.log, quiet: true,
		onRun: func(string, string) {}, answer: func(request string) (string, string) {
			stamp := registered.Stamp{ID: request, Service: service, Upstream: id, OK: true}

			return stamp.String(), string(registered.ResponseBody(request, service, id))
		},
	}
}

// crashShard crashes the upstreams of a shard together. They are back as new processes after recoverDown.
func crashShard(ctx context.Context, o options, replicas []*upstream) error {
	o.log.add("crash", fmt.Sprintf("all upstreams of %s for %v", replicas[0].service, recoverDown))
	for _, u := range replicas {
		u.crash()
	}
	time.Sleep(entryLifetime)
	for _, u := range replicas {
		if err := remove(ctx, o.store, "servers/"+u.id); err != nil {
			return err
		}
	}
	time.Sleep(recoverDown - entryLifetime)
	for i, u := range replicas {
		replicas[i] = newShardUpstream(o, u.id+"x", u.service, u.zone)
		if err := replicas[i].start(ctx); err != nil {
			return err
		}
		if err := replicas[i].register(ctx, o.store); err != nil {
			return err
		}
	}
	o.log.add("back", "all upstreams of "+replicas[0].service)

	return nil
}

// killAll kills all daemons at once. The script starts them again.
func killAll(o options) error {
	files := splitList(o.pids)
	for _, file := range files {
		if err := signal(file, syscall.SIGKILL); err != nil {
			return err
		}
	}
	o.log.add("kill", fmt.Sprintf("%d daemons", len(files)))

	return nil
}

// signal sends a signal to the process whose ID a file holds.
func signal(file string, s syscall.Signal) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "signal")
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil {
		return errors.Wrap(err, "signal")
	}

	return errors.Wrap(syscall.Kill(pid, s), "signal")
}

// playRecover sends queries, most of which are the same one. With the disruption, all upstreams of a shard crash. At
// the end all daemons are killed, right after a change of the configuration.
func playRecover(ctx context.Context, o options) ([]string, error) {
	shards, config, err := startShards(ctx, o)
	if err != nil {
		return nil, err
	}
	if err := put(ctx, o.store, "op/config", config); err != nil {
		return nil, err
	}
	if err := waitReady(ctx, splitList(o.readies)); err != nil {
		return nil, err
	}
	t := newTally()
	load, stop := context.WithCancel(ctx)
	defer stop()
	callers := sendQueries(load, o, t)
	if err := disrupt(ctx, o, shards, config); err != nil {
		return nil, err
	}
	t.enter(recovering)
	time.Sleep(time.Second)
	if err := waitReady(ctx, splitList(o.readies)); err != nil {
		return nil, err
	}
	o.log.add("ready", "all daemons")
	time.Sleep(recoverGrace)
	t.enter(recovered)
	time.Sleep(recoverSpan)
	stop()
	callers.Wait()
	for p, name := range []string{"before", "recovery", "after"} {
		o.log.add("counts", fmt.Sprintf("%s: %v, served %.3f", name, t.answers[p], t.served(phase(p))))
	}
	before, after := t.served(beforeFault), t.served(recovered)
	if before >= recoverLeast && after < recoverLeast {
		return []string{fmt.Sprintf("RECOVER: served %.3f of the requests, %.3f before the final fault", after, before)}, nil
	}

	return nil, nil
}

// disrupt plays the disruption and the final fault.
func disrupt(ctx context.Context, o options, shards [][]*upstream, config configRecord) error {
	time.Sleep(recoverCalm)
	for i := range recoverCrashes {
		started := time.Now()
		if o.trouble {
			if err := crashShard(ctx, o, shards[i]); err != nil {
				return err
			}
		}
		time.Sleep(recoverGap - time.Since(started))
	}
	config.Version++
	if err := put(ctx, o.store, "op/config", config); err != nil {
		return err
	}

	return killAll(o)
}

// uniqueShare is the share of the queries that no other caller sends.
const uniqueShare = 0.15

// sendQueries sends queries until ctx ends, and returns what to wait for.
func sendQueries(ctx context.Context, o options, t *tally) *sync.WaitGroup {
	random := rand.New(rand.NewPCG(o.seed, 1))
	fronts := splitList(o.fronts)
	var callers sync.WaitGroup
	callers.Add(1)
	go func() {
		defer callers.Done()
		for ctx.Err() == nil {
			time.Sleep(time.Duration(random.ExpFloat64() / recoverRate * float64(time.Second)))
			front, id, target := fronts[random.IntN(len(fronts))], fmt.Sprintf("%016x", random.Uint64()), "/search/today"
			if random.Float64() < uniqueShare {
				target = fmt.Sprintf("/search/%x", random.Uint32())
			}
			callers.Add(1)
			go func() {
				defer callers.Done()
				p := t.current()
				how := send(context.WithoutCancel(ctx), http.MethodGet, front, target, id, recoverTimeout)
				o.log.add("answered", id+" "+target+" "+how)
				t.count(p, how)
			}()
		}
	}()

	return &callers
}
