package socket_test

import (
	"context"
	"io"
	"net"
	"time"

	"jacinthferry/io/socket"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// connPair returns both ends of a TCP connection, the dialling end first.
func connPair() (net.Conn, net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	near, err := socket.NewDialer(1000, 1000).DialContext(context.Background(), "tcp", l.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	far, err := l.Accept()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})

	return near, far
}

var _ = Describe("A connection", func() {
	It("is reusable until bytes arrive or the other end closes it", func() {
		near, far := connPair()
		Expect(socket.Reusable(near)).To(BeTrue())
		_, err := io.WriteString(far, "x")
		Expect(err).NotTo(HaveOccurred())
		reusable := func() bool { return socket.Reusable(near) }
		Eventually(reusable).WithTimeout(5 * time.Second).Should(BeFalse())
		near, far = connPair()
		Expect(far.Close()).To(Succeed())
		Eventually(reusable).WithTimeout(5 * time.Second).Should(BeFalse())
	})

	It("has a round-trip time, which counts twice for the first request", func() {
		near, _ := connPair()
		rtt, ok := socket.RoundTripTime(near)
		Expect(ok).To(BeTrue())
		Expect(rtt).To(BeNumerically(">", 0))
		Expect(rtt).To(BeNumerically("<", 1000))
		ctx := socket.WithNetworkDelay(context.Background(), near)
		first, second := socket.NetworkDelay(ctx), socket.NetworkDelay(ctx)
		Expect(first).To(Equal(2 * second))
		Expect(second).To(BeNumerically(">", 0))
		Expect(socket.NetworkDelay(context.Background())).To(BeZero())
	})

	It("has no round-trip time if it is not a TCP connection", func() {
		near, far := net.Pipe()
		defer func() { _, _ = near.Close(), far.Close() }()
		_, ok := socket.RoundTripTime(near)
		Expect(ok).To(BeFalse())
	})
})
