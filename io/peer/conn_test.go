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

// endpoint is one end of a connection and counts what it received.
type endpoint struct {
	legs         atomic.Int64
	closed       atomic.Int64
	unresponsive atomic.Int64
	controls     chan peer.Control
}

func (e *endpoint) handlers() peer.Handlers {
	return peer.Handlers{
		Now:     timer.NewClock(),
		Leg:     func(*peer.Link, uint64, leg.Leg) { e.legs.Add(1) },
		Answer:  func(uint64, leg.Result) {},
		Cancel:  func(*peer.Link, uint64, string) {},
		Holding: func(*peer.Link, route.Holding, bool) {},
		Control: func(_ *peer.Link, c peer.Control) { e.controls <- c },
		Silent:  func(*peer.Link) { e.unresponsive.Add(1) },
		Closed:  func(*peer.Link) { e.closed.Add(1) },
	}
}

func newEndpoint() *endpoint { return &endpoint{controls: make(chan peer.Control, 16)} }

// proxy forwards bytes in both directions until it is told to drop them.
type proxy struct {
	listener net.Listener
	dropping atomic.Bool
}

func newProxy(target string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p := &proxy{listener: listener}
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
			go p.copy(to, from)
			go p.copy(from, to)
		}
	}()

	return p
}

func (p *proxy) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()

			return
		}
		if !p.dropping.Load() {
			_, _ = to.Write(buffer[:n])
		}
	}
}

var _ = Describe("a connection", func() {
	var local, remote *endpoint
	var server *rpc.Server
	var access peer.Access

	BeforeEach(func() {
		local, remote, access = newEndpoint(), newEndpoint(), peer.Access{}
	})

	serve := func() string {
		var err error
		server, err = rpc.Listen("127.0.0.1:0", peer.Handler("b", remote.handlers(), access, func(*peer.Link) {}))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)

		return server.Address()
	}

	It("delivers control messages unchanged", func(ctx SpecContext) {
		l, err := peer.Dial(ctx, "a", "", serve(), local.handlers(), peer.Access{})
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Name).To(Equal("b"))
		for _, c := range []peer.Control{
			{Member: &member.Message{Kind: member.Ping, Seq: 7, Target: "c", Incarnation: 9, Digest: 5, Revision: 3, Updates: []member.Update{
				{Member: member.Member{Name: "d", Zone: "z", Caller: "1", Peer: "2"}, State: member.Suspect, Incarnation: 4},
			}}},
			{Spread: &spread.Message{Kind: spread.Want, Revision: 4}},
			{Spread: &spread.Message{Kind: spread.Change, Revision: 5, Change: manifest.Change{
				From: 4, To: 5, Head: "{}", Gone: []string{"x"}, New: []manifest.Part{{Name: "y", Text: "text"}},
			}}},
			{Ask: 8},
			{Status: &peer.Status{Ask: 8, Name: "b", Revision: 5, Reachable: true, Upstreams: map[string]int{"live": 2}, Running: map[string]float64{"s": 1.5}}},
		} {
			Expect(l.Control(c)).To(Succeed())
			Eventually(remote.controls).WithTimeout(20 * time.Second).Should(Receive(Equal(c)))
		}
	})

	It("closes itself when it gets no reply within two seconds of sending a leg", func(ctx SpecContext) {
		p := newProxy(serve())
		l, err := peer.Dial(ctx, "a", "b", p.listener.Addr().String(), local.handlers(), peer.Access{})
		Expect(err).NotTo(HaveOccurred())
		l.Leg(1, leg.Leg{Request: "r"})
		Eventually(remote.legs.Load).WithTimeout(20 * time.Second).Should(Equal(int64(1)))
		Consistently(local.closed.Load).WithTimeout(3*time.Second).Should(BeZero(), "a long-running leg must not close the connection")
		p.dropping.Store(true)
		l.Leg(2, leg.Leg{Request: "r"})
		start := time.Now()
		Eventually(local.closed.Load).WithTimeout(20 * time.Second).Should(Equal(int64(1)))
		GinkgoWriter.Printf("unresponsive connection closed after %v\n", time.Since(start))
		Expect(local.unresponsive.Load()).To(Equal(int64(1)))
		Expect(remote.legs.Load()).To(Equal(int64(1)))
	})

	It("is refused if the check fails, the name is missing or another daemon responds", func(ctx SpecContext) {
		access.Check = func(r *http.Request) error {
			if r.Header.Get("Key") != "k" {
				return errors.New("Key header is missing")
			}

			return nil
		}
		address := serve()
		_, err := peer.Dial(ctx, "a", "b", address, local.handlers(), peer.Access{})
		Expect(err).To(MatchError(peer.ErrDial))
		key := peer.Access{Header: http.Header{"Key": []string{"k"}}}
		_, err = peer.Dial(ctx, "", "b", address, local.handlers(), key)
		Expect(err).To(MatchError(peer.ErrDial))
		_, err = peer.Dial(ctx, "a", "c", address, local.handlers(), key)
		Expect(err).To(MatchError(peer.ErrDial))
		_, err = peer.Dial(ctx, "a", "b", address, local.handlers(), key)
		Expect(err).NotTo(HaveOccurred())
	})

	It("is closed after an invalid message", func() {
		address := serve()
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = c.Close() }()
		_, _ = c.Write([]byte("GET /peer HTTP/1.1\r\nHost: b\r\nName: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n" +
			"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"))
		_, _ = c.Write([]byte{0x82, 0x83, 0, 0, 0, 0, 0xff, 0xff, 0xff})
		_, _ = io.Copy(io.Discard, c)
		Eventually(remote.closed.Load).WithTimeout(20 * time.Second).Should(Equal(int64(1)))
		Expect(remote.legs.Load()).To(BeZero())
	})
})
