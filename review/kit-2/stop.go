package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The scenario "stop": a service with long requests and more callers than its upstreams hold at once.
const (
	stopCallers = 16
	stopWork    = 4 * time.Second
	stopTimeout = 15 * time.Second
	// stopDelay is the time from the requests to the signal.
	stopDelay = time.Second
)

// playStop sends long requests to one daemon and, with the disruption, stops that daemon as planned.
func playStop(ctx context.Context, o options) ([]string, error) {
	h := newHistory()
	config := configRecord{Version: 1, Limits: smallLimits()}
	config.Services = []serviceRecord{{Name: "reports", HealthPath: "/health", MaxConns: 26, WarmupS: 3}}
	config.Routes = []routeRecord{{
		Name: "r-reports", Host: host, Prefix: "/reports/", Kind: "safe", Priority: 1, Attempts: 2,
		TimeoutMs: int(stopTimeout.Milliseconds()), ObjectiveMs: 5000, Service: "reports",
	}}
	for _, zone := range []string{"a", "b"} {
		u := &upstream{
			id: "i-reports-" + zone, service: "reports", zone: zone, slots: 2, queue: 2, work: stopWork, log: o.log,
			onRun: h.ran, onAdmit: h.admit,
		}
		if err := u.start(ctx); err != nil {
			return nil, err
		}
		if err := u.register(ctx, o.store); err != nil {
			return nil, err
		}
	}
	if err := put(ctx, o.store, "op/config", config); err != nil {
		return nil, err
	}
	if err := waitReady(ctx, splitList(o.readies)); err != nil {
		return nil, err
	}
	// The daemons know each other by then.
	time.Sleep(16 * time.Second)
	front := splitList(o.fronts)[0]
	var callers sync.WaitGroup
	for i := range stopCallers {
		callers.Add(1)
		go func() {
			defer callers.Done()
			id := fmt.Sprintf("%016x", o.seed<<16+uint64(i))
			o.log.add("sent", id)
			start := time.Now()
			how := send(ctx, http.MethodGet, front, "/reports/"+id, id, stopTimeout)
			o.log.add("answered", fmt.Sprintf("%s %s after %.3f s", id, how, time.Since(start).Seconds()))
			h.answered(id, how)
		}()
	}
	time.Sleep(stopDelay)
	if o.trouble {
		if err := signal(splitList(o.pids)[0], syscall.SIGTERM); err != nil {
			return nil, err
		}
		o.log.add("signal", "SIGTERM")
	}
	callers.Wait()
	time.Sleep(time.Second)

	return h.unanswered(), nil
}

// unanswered returns the requests that got no answer although no upstream ran them or had them in its queue.
func (h *history) unanswered() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var broken []string
	for id, how := range h.answers {
		if how == cutOff && !h.admitted[id] {
			broken = append(broken, "LOST: "+id+" got no answer, and no upstream took it")
		}
	}

	return broken
}
