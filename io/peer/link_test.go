package peer_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"jacinthferry/core/leg"
	"jacinthferry/core/manifest"
	"jacinthferry/core/member"
	"jacinthferry/core/route"
	"jacinthferry/core/spread"
	"jacinthferry/io/peer"
	"jacinthferry/io/rpc"
	"jacinthferry/io/timer"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// side is one end of a link and what it got.
type side struct {
	legs     atomic.Int64
	closed   atomic.Int64
	silent   atomic.Int64
	controls chan peer.Control
}

func (s *side) handlers() peer.Handlers {
	return peer.Handlers{
		Now:     timer.NewClock(),
		Leg:     func(*peer.Link, uint64, leg.Leg) { s.legs.Add(1) },
		Answer:  func(uint64, leg.Result) {},
		Cancel:  func(*peer.Link, uint64, string) {},
		Holding: func(*peer.Link, route.Holding, bool) {},
		Control: func(_ *peer.Link, c peer.Control) { s.controls <- c },
		Silent:  func(*peer.Link) { s.silent.Add(1) },
		Closed:  func(*peer.Link) { s.closed.Add(1) },
	}
}

func newSide() *side { return &side{controls: make(chan peer.Control, 16)} }

// relay passes bytes between two ends until it is told to swallow them.
type relay struct {
	listener net.Listener
	silent   atomic.Bool
}

func newRelay(target string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &relay{listener: listener}
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			go r.copy(to, from)
			go r.copy(from, to)
		}
	}()

	return r
}

func (r *relay) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()

			return
		}
		if !r.silent.Load() {
			_, _ = to.Write(buffer[:n])
		}
	}
}

var _ = Describe("a link", func() {
	var here, there *side
	var server *rpc.Server
	var access peer.Access

	BeforeEach(func() {
		here, there, access = newSide(), newSide(), peer.Access{}
	})

	serve := func() string {
		var err error
		server, err = rpc.Listen("127.0.0.1:0", peer.Handler("b", there.handlers(), access, func(*peer.Link) {}))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)

		return server.Address()
	}

	It("carries control messages as they are", func(ctx SpecContext) {
		l, err := peer.Dial(ctx, "a", "", serve(), here.handlers(), peer.Access{})
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Name).To(Equal("b"))
		for _, c := range []peer.Control{
			{Member: &member.Message{Kind: member.Ping, Seq: 7, Target: "c", Incarnation: 9, Digest: 5, Revision: 3, Updates: []member.Update{
				{Member: member.Member{Name: "d", Zone: "z", CallerAddress: "1", PeerAddress: "2"}, State: member.Suspect, Incarnation: 4},
			}}},
			{Spread: &spread.Message{Kind: spread.Request, Revision: 4}},
			{Spread: &spread.Message{Kind: spread.Change, Revision: 5, Change: manifest.Change{
				From: 4, To: 5, Head: "{}", RemovedParts: []string{"x"}, AddedParts: []manifest.Part{{Name: "y", Text: "text"}},
			}}},
			{Ask: 8},
			{Status: &peer.Status{Ask: 8, Name: "b", Revision: 5, Reachable: true, Upstreams: map[string]int{"live": 2}, Running: map[string]float64{"s": 1.5}}},
		} {
			Expect(l.Control(c)).To(Succeed())
			Eventually(there.controls).WithTimeout(20 * time.Second).Should(Receive(Equal(c)))
		}
	})

	It("finds its own silence within two seconds of work", func(ctx SpecContext) {
		r := newRelay(serve())
		l, err := peer.Dial(ctx, "a", "b", r.listener.Addr().String(), here.handlers(), peer.Access{})
		Expect(err).NotTo(HaveOccurred())
		l.Leg(1, leg.Leg{Request: "r"})
		Eventually(there.legs.Load).WithTimeout(20 * time.Second).Should(Equal(int64(1)))
		Consistently(here.closed.Load).WithTimeout(3*time.Second).Should(BeZero(), "work that takes long is no silence")
		r.silent.Store(true)
		l.Leg(2, leg.Leg{Request: "r"})
		start := time.Now()
		Eventually(here.closed.Load).WithTimeout(20 * time.Second).Should(Equal(int64(1)))
		GinkgoWriter.Printf("silent link closed after %v\n", time.Since(start))
		Expect(here.silent.Load()).To(Equal(int64(1)))
		Expect(there.legs.Load()).To(Equal(int64(1)))
	})

	It("refuses whoever fails the check, has no name or is another than meant", func(ctx SpecContext) {
		access.Check = func(r *http.Request) error {
			if r.Header.Get("Key") != "k" {
				return errors.New("no key")
			}

			return nil
		}
		address := serve()
		_, err := peer.Dial(ctx, "a", "b", address, here.handlers(), peer.Access{})
		Expect(err).To(MatchError(peer.ErrDial))
		key := peer.Access{Header: http.Header{"Key": []string{"k"}}}
		_, err = peer.Dial(ctx, "", "b", address, here.handlers(), key)
		Expect(err).To(MatchError(peer.ErrDial))
		_, err = peer.Dial(ctx, "a", "c", address, here.handlers(), key)
		Expect(err).To(MatchError(peer.ErrDial))
		_, err = peer.Dial(ctx, "a", "b", address, here.handlers(), key)
		Expect(err).NotTo(HaveOccurred())
	})

	It("is closed by garbage", func() {
		address := serve()
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = c.Close() }()
		_, _ = c.Write([]byte("GET /peer HTTP/1.1\r\nHost: b\r\nName: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n" +
			"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"))
		_, _ = c.Write([]byte{0x82, 0x83, 0, 0, 0, 0, 0xff, 0xff, 0xff})
		_, _ = io.Copy(io.Discard, c)
		Eventually(there.closed.Load).WithTimeout(20 * time.Second).Should(Equal(int64(1)))
		Expect(there.legs.Load()).To(BeZero())
	})
})
