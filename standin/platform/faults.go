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

// Outage is how the platform is away.
type Outage string

// The kinds of Outage.
const (
	// Up is no outage.
	Up Outage = ""
	// Cut closes every connection at once.
	Cut Outage = "cut"
	// Hang accepts calls and never answers them.
	Hang Outage = "hang"
)

// Faults are what the stand-in does wrong on command. The zero value does nothing wrong.
type Faults struct {
	Outage Outage `json:"outage,omitempty"`
	// Slow is added to the time of every call.
	Slow clock.Milli `json:"slow,omitempty"`
	// Lost is the share of calls that take effect and whose connection is then cut.
	Lost float64 `json:"lost,omitempty"`
	// Only limits Lost to calls of one kind, such as "write".
	Only string `json:"only,omitempty"`
	// Lag is how old the list of instances is.
	Lag clock.Milli `json:"lag,omitempty"`
}

// Second counts the calls that arrived within one second, by their kind.
type Second struct {
	// At is the instant at which the second began.
	At    int64          `json:"at"`
	Calls map[string]int `json:"calls"`
	// Refused is how many went over the rates, and Lost how many answers were lost on command.
	Refused int `json:"refused"`
	Lost    int `json:"lost"`
}

// SetFaults replaces the faults. An outage ends waiting watches too.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage != Up && f.Outage == Up {
		s.outage, s.begin = context.WithCancel(context.Background())
	}
	if f.Outage != Up {
		s.begin()
	}
	s.faults = f
}

// Seconds returns the counts of the last seconds, oldest first.
func (s *Store) Seconds() []Second {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := slices.Clone(s.seconds)
	for i := range list {
		list[i].Calls = maps.Clone(list[i].Calls)
	}

	return list
}

// secondsKept is how many seconds of counts are kept.
const secondsKept = 900

// second returns the counts of the current second.
func (s *Store) second() *Second {
	at := int64(s.now() / clock.Second)
	if n := len(s.seconds); n == 0 || s.seconds[n-1].At != at {
		s.seconds = append(s.seconds, Second{At: at, Calls: make(map[string]int)})
	}
	if extra := len(s.seconds) - secondsKept; extra > 0 {
		s.seconds = s.seconds[extra:]
	}

	return &s.seconds[len(s.seconds)-1]
}

// Handler returns an HTTP handler that serves the store with its faults.
func (s *Store) Handler() http.Handler {
	inner := platform.StoreHandler(s.Platform())

	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		kind := platform.StoreCallKind(r)
		faults, outage := s.arrive(kind)
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(outage, cancel)()
		select {
		case <-time.After(faults.Slow.Duration()):
		case <-ctx.Done():
		}
		answer := &answer{header: make(http.Header), code: http.StatusOK}
		if err := s.allow(kind); err != nil {
			platform.WriteStoreError(w, err)

			return
		}
		if outage.Err() == nil {
			inner.ServeHTTP(answer, r.WithContext(ctx))
		}
		if outage.Err() != nil {
			if s.hangs() {
				<-r.Context().Done()
			}
			panic(http.ErrAbortHandler)
		}
		if (faults.Only == "" || faults.Only == kind) && s.loses(faults.Lost) {
			panic(http.ErrAbortHandler)
		}
		answer.send(w)
	})
}

// answer keeps an answer until it is known whether it is to be sent.
type answer struct {
	header http.Header
	code   int
	body   bytes.Buffer
}

func (a *answer) Header() http.Header { return a.header }

func (a *answer) WriteHeader(code int) { a.code = code }

func (a *answer) Write(b []byte) (int, error) { return a.body.Write(b) }

func (a *answer) send(w http.ResponseWriter) {
	maps.Copy(w.Header(), a.header)
	w.WriteHeader(a.code)
	_, _ = w.Write(a.body.Bytes())
}

// arrive counts a call and returns what goes wrong with it.
func (s *Store) arrive(kind string) (Faults, context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.second().Calls[kind]++

	return s.faults, s.outage
}

func (s *Store) hangs() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.faults.Outage == Hang
}

func (s *Store) loses(share float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.random.Float64() >= share {
		return false
	}
	s.second().Lost++

	return true
}
