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

// pair returns both ends of a connection.
func pair() (net.Conn, net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	near, err := socket.Dialer(1000, 1000).DialContext(context.Background(), "tcp", l.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	far, err := l.Accept()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})

	return near, far
}

var _ = Describe("a connection", func() {
	It("is quiet until bytes come or the other end closes it", func() {
		near, far := pair()
		Expect(socket.Quiet(near)).To(BeTrue())
		_, err := io.WriteString(far, "x")
		Expect(err).NotTo(HaveOccurred())
		quiet := func() bool { return socket.Quiet(near) }
		Eventually(quiet).WithTimeout(5 * time.Second).Should(BeFalse())
		near, far = pair()
		Expect(far.Close()).To(Succeed())
		Eventually(quiet).WithTimeout(5 * time.Second).Should(BeFalse())
	})

	It("tells how far its other end is, and that opening it took one way more", func() {
		near, _ := pair()
		trip, ok := socket.RoundTrip(near)
		Expect(ok).To(BeTrue())
		Expect(trip).To(BeNumerically(">", 0))
		Expect(trip).To(BeNumerically("<", 1000))
		ctx := socket.WithWay(context.Background(), near)
		first, second := socket.Way(ctx), socket.Way(ctx)
		Expect(first).To(Equal(2 * second))
		Expect(second).To(BeNumerically(">", 0))
		Expect(socket.Way(context.Background())).To(BeZero())
	})

	It("tells nothing of what is no TCP connection", func() {
		near, far := net.Pipe()
		defer func() { _, _ = near.Close(), far.Close() }()
		_, ok := socket.RoundTrip(near)
		Expect(ok).To(BeFalse())
	})
})
