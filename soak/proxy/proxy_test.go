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
	generous = 5 * time.Second
	short    = 100 * time.Millisecond
)

// echo starts a server that sends back each line and returns its address.
func echo() string {
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

var _ = Describe("a proxy", func() {
	var p *proxy.Proxy
	BeforeEach(func() {
		var err error
		p, err = proxy.New(context.Background(), echo())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.Close)
	})
	dial := func() net.Conn {
		c, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", p.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })

		return c
	}
	// says sends a line and reports whether it came back within a span.
	says := func(c net.Conn, span time.Duration) error {
		Expect(c.SetDeadline(time.Now().Add(span))).To(Succeed())
		if _, err := c.Write([]byte("hello\n")); err != nil {
			return err //nolint:wrapcheck // The spec compares it.
		}
		_, err := bufio.NewReader(c).ReadString('\n')

		return err //nolint:wrapcheck // The spec compares it.
	}
	timeout := func(err error) bool {
		broken, ok := err.(net.Error) //nolint:errorlint // It is not wrapped.

		return ok && broken.Timeout()
	}

	// refused reports whether a new connection is reset, which may show before it is open.
	refused := func() bool {
		c, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", p.Address())
		if err != nil {
			return true
		}
		defer func() { _ = c.Close() }()
		err = says(c, generous)

		return err != nil && !timeout(err)
	}

	It("passes bytes on both ways", func() {
		c := dial()
		Expect(says(c, generous)).To(Succeed())
		Expect(says(c, generous)).To(Succeed())
	})

	It("delays", func() {
		c := dial()
		p.Set(proxy.Mode{Delay: 60})
		begin := time.Now()
		Expect(says(c, generous)).To(Succeed())
		Expect(time.Since(begin)).To(BeNumerically(">=", 120*time.Millisecond))
	})

	It("silences open connections for good, and not new ones", func() {
		c := dial()
		Expect(says(c, generous)).To(Succeed())
		p.Silence()
		Expect(timeout(says(c, short))).To(BeTrue())
		Expect(says(dial(), generous)).To(Succeed())
	})

	for _, m := range []proxy.Mode{{NoRequests: true}, {NoAnswers: true}} {
		It("cuts one way", func() {
			p.Set(m)
			Expect(timeout(says(dial(), short))).To(BeTrue())
			p.Set(proxy.Mode{})
			Expect(says(dial(), generous)).To(Succeed())
		})
	}

	It("resets open connections, and refuses new ones", func() {
		c := dial()
		Expect(says(c, generous)).To(Succeed())
		p.Reset()
		err := says(c, generous)
		Expect(err).To(HaveOccurred())
		Expect(timeout(err)).To(BeFalse())
		p.Set(proxy.Mode{Refuse: true})
		Expect(refused()).To(BeTrue())
	})

	It("leads new connections to another target", func() {
		other, err := proxy.New(context.Background(), "127.0.0.1:1")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(other.Close)
		p = other
		Expect(refused()).To(BeTrue())
		other.Retarget(echo())
		Expect(says(dial(), generous)).To(Succeed())
	})
})
