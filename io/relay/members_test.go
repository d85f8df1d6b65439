package relay_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"jacinthferry/core/clock"
	"jacinthferry/io/registry"
	"jacinthferry/io/relay"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// activeDaemon tells daemons on standby who is registered.
type activeDaemon struct {
	address string
	mu      sync.Mutex
	view    registry.MemberView
	standby bool
	changed chan struct{}
	asked   atomic.Int64
}

func newActiveDaemon(names ...string) *activeDaemon {
	d := &activeDaemon{changed: make(chan struct{})}
	d.set(1, 0, names...)
	handler := &relay.MembersServer{
		View: func() (registry.MemberView, bool) {
			d.mu.Lock()
			defer d.mu.Unlock()

			return d.view, !d.standby
		},
		Changed: func() <-chan struct{} {
			d.mu.Lock()
			defer d.mu.Unlock()

			return d.changed
		},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.asked.Add(1)
		handler.ServeHTTP(w, r)
	}))
	DeferCleanup(server.CloseClientConnections)
	d.address = strings.TrimPrefix(server.URL, "http://")

	return d
}

// set replaces what the daemon knows.
func (d *activeDaemon) set(revision int64, age clock.Milli, names ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view = registry.MemberView{Revision: revision, Age: age}
	for _, name := range names {
		d.view.Members = append(d.view.Members, registry.Member{
			Name: name, Front: name + ":1", Zone: "a", Relay: name + ":2", Cores: 0.8,
		})
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// follower is a daemon on standby. Its channel holds the views that it hears.
type follower struct {
	heard   chan registry.MemberView
	nothing atomic.Int64
	wanted  atomic.Bool
}

func newFollower(addresses ...string) *follower {
	f := &follower{heard: make(chan registry.MemberView, 100)}
	f.wanted.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go (&relay.Follower{
		HTTPClient: http.DefaultClient, Wanted: f.wanted.Load,
		Addresses:   func() ([]string, int) { return addresses, 1 },
		Hear:        func(v registry.MemberView) { f.heard <- v },
		HearNothing: func() { f.nothing.Add(1) },
	}).Run(ctx)

	return f
}

// next returns the next view that the follower hears.
func (f *follower) next() registry.MemberView {
	var v registry.MemberView
	Eventually(f.heard, timeout).Should(Receive(&v))

	return v
}

var _ = Describe("a daemon on standby that follows an active one", func() {
	It("hears the registered daemons at once, each change, and regularly how old that is", func() {
		d := newActiveDaemon("one", "two")
		f := newFollower(d.address)
		Expect(f.next()).To(Equal(d.view))
		d.set(5, 100, "one")
		Eventually(f.next).Should(Equal(d.view))
		d.mu.Lock()
		d.view.Age = 300
		d.mu.Unlock()
		Eventually(f.next).Should(Equal(d.view))
		Expect(d.asked.Load()).To(BeEquivalentTo(1))
	})

	It("finds another one when the first goes on standby or has lost the store", func() {
		for _, lose := range []func(d *activeDaemon){
			func(d *activeDaemon) {
				d.mu.Lock()
				d.standby = true
				d.mu.Unlock()
				d.set(2, 0, "one")
			},
			func(d *activeDaemon) { d.set(2, 10*clock.Second, "one") },
		} {
			first, second := newActiveDaemon("one"), newActiveDaemon("other")
			f := newFollower(first.address, second.address)
			Eventually(func() string { return f.next().Members[0].Name }).WithTimeout(timeout).Should(Equal("one"))
			lose(first)
			Eventually(func() string { return f.next().Members[0].Name }).WithTimeout(timeout).Should(Equal("other"))
			Expect(f.nothing.Load()).To(BeNumerically(">", 0))
			f.wanted.Store(false)
		}
	})

	It("leaves one that is silent", func() {
		silent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			conn, err := websocket.Accept(w, r, nil)
			if err == nil {
				<-conn.CloseRead(r.Context()).Done()
			}
		}))
		DeferCleanup(silent.CloseClientConnections)
		f := newFollower(strings.TrimPrefix(silent.URL, "http://"))
		Eventually(f.nothing.Load, timeout).Should(BeNumerically(">", 0))
	})

	for _, c := range []struct {
		what    string
		message any
	}{
		{"members left out of the first message", map[string]any{"revision": 1, "age": 0, "same": true}},
		{"no revision", map[string]any{"age": 0, "members": []any{}}},
		{"a negative age", map[string]any{"revision": 1, "age": -1, "members": []any{}}},
		{"another type", map[string]any{"revision": "1"}},
		{"a message without an end", strings.Repeat("x", 2<<20)},
	} {
		It("leaves one that sends what cannot be: "+c.what, func() {
			data, err := cbor.Marshal(c.message)
			Expect(err).NotTo(HaveOccurred())
			odd := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				conn, err := websocket.Accept(w, r, nil)
				if err != nil {
					return
				}
				ctx := conn.CloseRead(r.Context())
				_ = conn.Write(ctx, websocket.MessageBinary, data)
				<-ctx.Done()
			}))
			DeferCleanup(odd.CloseClientConnections)
			f := newFollower(strings.TrimPrefix(odd.URL, "http://"))
			start := time.Now()
			Eventually(f.nothing.Load, timeout).Should(BeNumerically(">", 0))
			Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second), "it need not wait for silence")
			Expect(f.heard).NotTo(Receive())
		})
	}

	It("stops once it takes requests itself", func() {
		d := newActiveDaemon("one")
		f := newFollower(d.address)
		f.next()
		f.wanted.Store(false)
		Eventually(func() int { return len(f.heard) }, timeout).Should(BeNumerically(">", 0), "the next message ends it")
		asked := d.asked.Load()
		for len(f.heard) > 0 {
			<-f.heard
		}
		Consistently(f.heard, 1500*time.Millisecond).ShouldNot(Receive())
		Expect(d.asked.Load()).To(Equal(asked))
	})
})
