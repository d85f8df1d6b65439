package proxy_test

import (
	"bufio"
	"context"
	"net"
	"time"

	"jacinthferry/soak/proxy"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	longTimeout  = 5 * time.Second
	shortTimeout = 100 * time.Millisecond
)

// startEchoServer starts a server that sends back each line, and returns its address.
func startEchoServer() string {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				for r := bufio.NewReader(c); ; {
					line, err := r.ReadString('\n')
					if err != nil {
						return
					}
					_, _ = c.Write([]byte(line))
				}
			}()
		}
	}()

	return l.Addr().String()
}

var _ = Describe("A proxy", func() {
	var p *proxy.Proxy
	BeforeEach(func() {
		var err error
		p, err = proxy.New(context.Background(), startEchoServer())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.Close)
	})
	dial := func() net.Conn {
		c, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", p.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })

		return c
	}
	// exchange sends a line and returns an error unless a line comes back before the timeout.
	exchange := func(c net.Conn, timeout time.Duration) error {
		Expect(c.SetDeadline(time.Now().Add(timeout))).To(Succeed())
		if _, err := c.Write([]byte("hello\n")); err != nil {
			return err //nolint:wrapcheck // The spec compares it.
		}
		_, err := bufio.NewReader(c).ReadString('\n')

		return err //nolint:wrapcheck // The spec compares it.
	}
	isTimeout := func(err error) bool {
		netErr, ok := err.(net.Error) //nolint:errorlint // It is not wrapped.

		return ok && netErr.Timeout()
	}

	// refused reports whether a new connection is reset. The reset may already show while dialling.
	refused := func() bool {
		c, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", p.Address())
		if err != nil {
			return true
		}
		defer func() { _ = c.Close() }()
		err = exchange(c, longTimeout)

		return err != nil && !isTimeout(err)
	}

	It("forwards bytes in both directions", func() {
		c := dial()
		Expect(exchange(c, longTimeout)).To(Succeed())
		Expect(exchange(c, longTimeout)).To(Succeed())
	})

	It("delays", func() {
		c := dial()
		p.SetMode(proxy.Mode{Delay: 60})
		start := time.Now()
		Expect(exchange(c, longTimeout)).To(Succeed())
		Expect(time.Since(start)).To(BeNumerically(">=", 120*time.Millisecond))
	})

	It("black-holes open connections permanently, but not new ones", func() {
		c := dial()
		Expect(exchange(c, longTimeout)).To(Succeed())
		p.Blackhole()
		Expect(isTimeout(exchange(c, shortTimeout))).To(BeTrue())
		Expect(exchange(dial(), longTimeout)).To(Succeed())
	})

	for _, m := range []proxy.Mode{{DropRequests: true}, {DropResponses: true}} {
		It("drops bytes of one direction", func() {
			p.SetMode(m)
			Expect(isTimeout(exchange(dial(), shortTimeout))).To(BeTrue())
			p.SetMode(proxy.Mode{})
			Expect(exchange(dial(), longTimeout)).To(Succeed())
		})
	}

	It("resets open connections and refuses new ones", func() {
		c := dial()
		Expect(exchange(c, longTimeout)).To(Succeed())
		p.ResetConnections()
		err := exchange(c, longTimeout)
		Expect(err).To(HaveOccurred())
		Expect(isTimeout(err)).To(BeFalse())
		p.SetMode(proxy.Mode{Refuse: true})
		Expect(refused()).To(BeTrue())
	})

	It("forwards new connections to another target after a change of target", func() {
		other, err := proxy.New(context.Background(), "127.0.0.1:1")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(other.Close)
		p = other
		Expect(refused()).To(BeTrue())
		other.SetTarget(startEchoServer())
		Expect(exchange(dial(), longTimeout)).To(Succeed())
	})
})
