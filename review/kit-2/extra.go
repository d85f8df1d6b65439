package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// The small deployment of the scenario "extra": services of two upstreams each, and one unsafe route for each.
const (
	extraServices    = 10
	extraWork        = 350 * time.Millisecond
	extraSpan        = 95 * time.Second
	extraQuiet       = 6 * time.Second
	extraRate        = 110.0
	extraTimeout     = 3 * time.Second
	extraWindow      = 5 * time.Second
	extraPause       = 1 * time.Second
	extraShare       = 0.03
	extraServerShare = 0.6
	host             = "orders.example"
)

// history holds how often each request ran, whether an upstream took it into its queue, and how it was answered.
type history struct {
	mu       sync.Mutex
	runs     map[string][]string
	admitted map[string]bool
	answers  map[string]string
}

func newHistory() *history {
	return &history{runs: make(map[string][]string), admitted: make(map[string]bool), answers: make(map[string]string)}
}

func (h *history) admit(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.admitted[id] = true
}

func (h *history) ran(id, by string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs[id] = append(h.runs[id], by)
}

func (h *history) answered(id, how string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers[id] = how
}

// judge returns the unsafe requests that ran twice, or that ran and were answered as not run.
func (h *history) judge() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var broken []string
	for id, by := range h.runs {
		if len(by) > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: %s ran at %s, answered %s",
				id, strings.Join(by, " and "), h.answers[id]))
		}
		if how := h.answers[id]; how == "503" || how == "429" || how == "408" || how == "421" {
			broken = append(broken, fmt.Sprintf("REFUSED: %s ran at %s, answered %s", id, strings.Join(by, " and "), how))
		}
	}
	slices.Sort(broken)

	return broken
}

// playExtra plays unsafe requests to upstreams that reject what does not fit into their queues. With the disruption,
// some upstreams send some of their responses a second time, late.
func playExtra(ctx context.Context, o options) ([]string, error) {
	h := newHistory()
	var from time.Time
	share := func() float64 {
		at := time.Since(from) - extraQuiet
		if !o.trouble || from.IsZero() || at < 0 || at%(extraWindow+extraPause) >= extraWindow {
			return 0
		}

		return extraShare
	}
	config := configRecord{Version: 1, Limits: smallLimits()}
	n := 0
	for i := range extraServices {
		name := fmt.Sprintf("orders-%d", i)
		config.Services = append(config.Services, serviceRecord{Name: name, HealthPath: "/health", MaxConns: 26, WarmupS: 3})
		config.Routes = append(config.Routes, routeRecord{
			Name: "r-" + name, Host: host, Prefix: "/" + name + "/", Kind: "unsafe", Priority: 1, Attempts: 2,
			TimeoutMs: int(extraTimeout.Milliseconds()), ObjectiveMs: 500, Service: name,
		})
		for _, zone := range []string{"a", "b"} {
			u := &upstream{
				id: fmt.Sprintf("i-%s-%s", name, zone), service: name, zone: zone, slots: 2, queue: 2, work: extraWork, log: o.log,
				onRun: h.ran,
			}
			if float64(n+1) <= extraServerShare*2*extraServices {
				u.extraShare = share
			}
			n++
			if err := u.start(ctx); err != nil {
				return nil, err
			}
			if err := u.register(ctx, o.store); err != nil {
				return nil, err
			}
		}
	}
	if err := put(ctx, o.store, "op/config", config); err != nil {
		return nil, err
	}
	if err := waitReady(ctx, splitList(o.readies)); err != nil {
		return nil, err
	}
	from = time.Now()
	o.log.add("start", "traffic")
	random := rand.New(rand.NewPCG(o.seed, 1))
	fronts := splitList(o.fronts)
	var callers sync.WaitGroup
	for number := 0; time.Since(from) < extraSpan; number++ {
		time.Sleep(time.Duration(random.ExpFloat64() / extraRate * float64(time.Second)))
		front := fronts[random.IntN(len(fronts))]
		target := fmt.Sprintf("/orders-%d/%x", random.IntN(extraServices), random.Uint32())
		id := fmt.Sprintf("%016x", random.Uint64())
		callers.Add(1)
		go func() {
			defer callers.Done()
			how := send(ctx, http.MethodPost, front, target, id, extraTimeout)
			o.log.add("answered", id+" "+how)
			h.answered(id, how)
		}()
	}
	callers.Wait()
	time.Sleep(time.Second)
	counts := make(map[string]int)
	for _, how := range h.answers {
		counts[how]++
	}
	o.log.add("counts", fmt.Sprint(counts))
	if counts["200"] == 0 {
		return nil, errors.New("no request was served")
	}

	return h.judge(), nil
}

// What send returns where there is no answer: the caller's time is up, or the connection ended first.
const (
	gaveUp = "given up"
	cutOff = "cut off"
)

// send sends a request on a new connection, and returns the status of the answer, gaveUp or cutOff.
func send(ctx context.Context, method, address, target, id string, timeout time.Duration) string {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("order " + id)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+target, body)
	if err != nil {
		return cutOff
	}
	r.Host, r.Close = host, true
	r.Header.Set(headerID, id)
	r.Header.Set(headerTimeout, strconv.FormatInt(timeout.Milliseconds(), 10))
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		_, err = io.Copy(io.Discard, response.Body)
	}
	if ctx.Err() != nil {
		return gaveUp
	}
	if err != nil {
		return cutOff
	}

	return strconv.Itoa(response.StatusCode)
}
