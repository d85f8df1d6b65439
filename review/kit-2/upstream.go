package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// The headers that upstreams and callers read and write.
const (
	headerID      = "Jacinthferry-Request-Id"
	headerExpect  = "Jacinthferry-Expect-Instance"
	headerTimeout = "Jacinthferry-Deadline-Ms"
	// notExecuted is the header line of a response that says that the request did not run.
	notExecuted = "Jacinthferry-Not-Executed: 1\r\n"
)

// defaultTimeout applies to a request that names no time.
const defaultTimeout = time.Minute

// upstream is an upstream that speaks HTTP/1.1 on bare connections. Its load is bounded by slots and a short queue.
type upstream struct {
	id, service, zone string
	slots, queue      int
	work              time.Duration
	log               *eventLog
	listener          net.Listener
	started           time.Time
	// extraShare returns the share of responses that are sent a second time.
	extraShare func() float64
	// onRun is called when the upstream begins to run a request.
	onRun func(id, by string)
	// onAdmit is called when the upstream takes a request into its queue. It may be nil.
	onAdmit func(id string)
	// answer returns the signature and the body of the response to a request. It may be nil.
	answer func(request string) (stamp, body string)
	// quiet leaves the requests that run out of the log.
	quiet bool

	mu      sync.Mutex
	conns   map[net.Conn]bool
	crashed bool
	taken   int
	running chan struct{}
}

// start opens the listener and serves connections.
func (u *upstream) start(ctx context.Context) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "upstream")
	}
	u.listener, u.started, u.running = l, time.Now(), make(chan struct{}, u.slots)
	u.conns = make(map[net.Conn]bool)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if !u.keep(c) {
				_ = c.Close()

				continue
			}
			go u.serve(c)
		}
	}()

	return nil
}

// keep notes an open connection. It reports false after a crash.
func (u *upstream) keep(c net.Conn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.crashed {
		u.conns[c] = true
	}

	return !u.crashed
}

func (u *upstream) drop(c net.Conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.conns, c)
	_ = c.Close()
}

// crash ends the upstream at once, with all its connections.
func (u *upstream) crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.crashed = true
	_ = u.listener.Close()
	for c := range u.conns {
		_ = c.Close()
	}
}

// serve serves one connection, one request at a time. A second copy of a response arrives late: at the point where
// the next response on the connection is expected.
func (u *upstream) serve(c net.Conn) {
	defer u.drop(c)
	reader := bufio.NewReader(c)
	copied, last := "", ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if copied != "" {
			u.log.add("extra", u.id+" sends its response to "+last+" again where that to "+r.Header.Get(headerID)+" is due")
			if _, err := io.WriteString(c, copied); err != nil {
				return
			}
			copied = ""
		}
		response := u.handle(r)
		if _, err := io.WriteString(c, response); err != nil {
			return
		}
		if u.extraShare != nil && rand.Float64() < u.extraShare() {
			copied, last = response, r.Header.Get(headerID)
		}
	}
}

// handle runs a request, or rejects it if the slots and the queue are full, and returns the response.
func (u *upstream) handle(r *http.Request) string {
	id := r.Header.Get(headerID)
	if expected := r.Header.Get(headerExpect); expected != "" && expected != u.id {
		return response(http.StatusMisdirectedRequest, id, notExecuted, "")
	}
	if !u.admit() {
		u.log.add("rejected", id+" by "+u.id)

		return response(http.StatusServiceUnavailable, id, notExecuted, "")
	}
	defer u.leave()
	if u.onAdmit != nil {
		u.onAdmit(id)
	}
	deadline := time.Now().Add(timeLeft(r))
	select {
	case u.running <- struct{}{}:
	case <-time.After(time.Until(deadline)):
		u.log.add("rejected", id+" by "+u.id+", its deadline passed in the queue")

		return response(http.StatusServiceUnavailable, id, notExecuted, "")
	}
	defer func() { <-u.running }()
	if !u.quiet {
		u.log.add("run", id+" by "+u.id)
	}
	u.onRun(id, u.id)
	work := time.Duration((0.5 + rand.Float64()) * float64(u.work))
	time.Sleep(min(work, time.Until(deadline)))
	if work > 0 && time.Now().After(deadline) {
		return response(http.StatusGatewayTimeout, id, "Jacinthferry-Server-Stamp: "+id+"."+u.id+"\r\n", "")
	}

	stamp, body := id+"."+u.id, "done by "+u.id
	if u.answer != nil {
		stamp, body = u.answer(id)
	}

	return response(http.StatusOK, id, "Jacinthferry-Server-Stamp: "+stamp+"\r\n", body)
}

// timeLeft returns how long the upstream may work on a request.
func timeLeft(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get(headerTimeout))
	if err != nil {
		return defaultTimeout
	}

	return time.Duration(ms) * time.Millisecond
}

func (u *upstream) admit() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.taken >= u.slots+u.queue {
		return false
	}
	u.taken++

	return true
}

func (u *upstream) leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.taken--
}

// response returns a response as it is sent.
func response(status int, id, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), headerID, id, headers, len(body), body)
}

// splitList splits a list of words that are separated by commas.
func splitList(text string) []string { return strings.Split(text, ",") }
