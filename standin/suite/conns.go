package suite

import (
	"context"
	"net"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// ServeConns calls handle with each connection to a new listener on loopback, concurrently, and closes the connection
// when handle returns. The listener closes at the end of the spec. It returns the listener's address.
func ServeConns(handle func(net.Conn)) (address string) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(listener.Close)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				handle(c)
			}()
		}
	}()

	return listener.Addr().String()
}
