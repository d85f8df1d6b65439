package socket

import (
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"jacinthferry/core/clock"
)

// Quiet reports whether an idle connection is open and has no bytes waiting.
func Quiet(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, failure := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(failure, syscall.EAGAIN)

		return true
	})

	return err == nil && quiet
}

// RoundTrip returns the time that the other end of a connection takes to answer, as the kernel last
// measured it. It reports false where the kernel does not tell.
func RoundTrip(c net.Conn) (clock.Milli, bool) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0, false
	}
	control, err := s.SyscallConn()
	if err != nil {
		return 0, false
	}
	var info *unix.TCPInfo
	var failure error
	err = control.Control(func(fd uintptr) {
		info, failure = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || failure != nil {
		return 0, false
	}

	return clock.Milli(info.Rtt) / microseconds, true
}

// microseconds is how many of them a millisecond has.
const microseconds = 1000

// Dialer returns a dialer for TCP connections that give up when written bytes stay unacknowledged
// for a span.
func Dialer(timeout, unacknowledged clock.Milli) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout.Duration(), KeepAlive: -1,
		ControlContext: func(_ context.Context, _, _ string, c syscall.RawConn) error {
			var failure error
			err := c.Control(func(fd uintptr) {
				failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged))
			})
			if err != nil {
				return errors.WithStack(err)
			}

			return errors.WithStack(failure)
		},
	}
}
