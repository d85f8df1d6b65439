package platform

import (
	"bytes"
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"jacinthferry/core/clock"
	"jacinthferry/platform"
)

// Outage is the way in which the store is unavailable.
type Outage string

// The kinds of Outage.
const (
	// NoOutage means no outage.
	NoOutage Outage = ""
	// AbortConnections aborts the connection of every call at once.
	AbortConnections Outage = "cut"
	// HangCalls accepts calls and never responds to them.
	HangCalls Outage = "hang"
)

// Faults configure fault injection. The zero value injects none.
type Faults struct {
	Outage Outage `json:"outage,omitempty"`
	// Latency is added to the latency of every call.
	Latency clock.Milli `json:"slow,omitempty"`
	// LostShare is the share of calls, from 0 to 1, whose connection is aborted after the call took effect.
	LostShare float64 `json:"lost,omitempty"`
	// LostKind limits lost responses to one kind of call, such as "write"; empty means all kinds.
	LostKind string `json:"only,omitempty"`
	// InstanceListLag is the age of the list of instances.
	InstanceListLag clock.Milli `json:"lag,omitempty"`
}

// SecondCounts counts the calls that arrived within one second, by kind.
type SecondCounts struct {
	// At is the start of the second, in whole seconds of the clock.
	At    int64          `json:"at"`
	Calls map[string]int `json:"calls"`
	// Refused counts calls above the rate limits.
	Refused int `json:"refused"`
	// Lost counts responses that an injected fault suppressed.
	Lost int `json:"lost"`
}

// SetFaults replaces the injected faults. An outage also ends waiting watches.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage != NoOutage && f.Outage == NoOutage {
		s.outage, s.beginOutage = context.WithCancel(context.Background())
	}
	if f.Outage != NoOutage {
		s.beginOutage()
	}
	s.faults = f
}

// CountsPerSecond returns the counts of the last 900 seconds with calls, oldest first.
func (s *Store) CountsPerSecond() []SecondCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := slices.Clone(s.seconds)
	for i := range list {
		list[i].Calls = maps.Clone(list[i].Calls)
	}

	return list
}

// maxSeconds is the greatest number of seconds whose counts are kept.
const maxSeconds = 900

// currentSecond returns the counts of the current second, and drops the oldest above maxSeconds.
func (s *Store) currentSecond() *SecondCounts {
	at := int64(s.now() / clock.Second)
	if n := len(s.seconds); n == 0 || s.seconds[n-1].At != at {
		s.seconds = append(s.seconds, SecondCounts{At: at, Calls: make(map[string]int)})
	}
	if excess := len(s.seconds) - maxSeconds; excess > 0 {
		s.seconds = s.seconds[excess:]
	}

	return &s.seconds[len(s.seconds)-1]
}

// Handler returns an HTTP handler that serves the store with its limits and faults.
func (s *Store) Handler() http.Handler {
	inner := platform.StoreHandler(s.Operations())

	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		kind := platform.StoreCallKind(r)
		faults, outage := s.countCall(kind)
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(outage, cancel)()
		select {
		case <-time.After(faults.Latency.Duration()):
		case <-ctx.Done():
		}
		response := &bufferedResponse{header: make(http.Header), code: http.StatusOK}
		if err := s.allow(kind); err != nil {
			platform.WriteStoreError(w, err)

			return
		}
		if outage.Err() == nil {
			inner.ServeHTTP(response, r.WithContext(ctx))
		}
		if outage.Err() != nil {
			if s.hangs() {
				<-r.Context().Done()
			}
			panic(http.ErrAbortHandler)
		}
		if (faults.LostKind == "" || faults.LostKind == kind) && s.loseResponse(faults.LostShare) {
			panic(http.ErrAbortHandler)
		}
		response.send(w)
	})
}

// bufferedResponse buffers a response until it is decided whether to send it.
type bufferedResponse struct {
	header http.Header
	code   int
	body   bytes.Buffer
}

func (b *bufferedResponse) Header() http.Header { return b.header }

func (b *bufferedResponse) WriteHeader(code int) { b.code = code }

func (b *bufferedResponse) Write(p []byte) (int, error) { return b.body.Write(p) }

func (b *bufferedResponse) send(w http.ResponseWriter) {
	maps.Copy(w.Header(), b.header)
	w.WriteHeader(b.code)
	_, _ = w.Write(b.body.Bytes())
}

// countCall counts a call. It returns the faults, and a context that an outage cancels.
func (s *Store) countCall(kind string) (Faults, context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.currentSecond().Calls[kind]++

	return s.faults, s.outage
}

// hangs reports whether calls are to get no response.
func (s *Store) hangs() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.faults.Outage == HangCalls
}

// loseResponse reports whether to lose a response, with the given probability, and counts it.
func (s *Store) loseResponse(share float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.random.Float64() >= share {
		return false
	}
	s.currentSecond().Lost++

	return true
}
