package socket

import (
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"jacinthferry/core/clock"
)

// Reusable reports whether an idle connection is still open and has no unread bytes, so that it can be reused.
// It neither blocks nor consumes bytes. It reports true for a connection that does not
// implement syscall.Conn.
func Reusable(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := s.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = rawConn.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, sysErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = errors.Is(sysErr, syscall.EAGAIN)

		return true
	})

	return err == nil && reusable
}

// RoundTripTime returns the smoothed round-trip time of a TCP connection, as the kernel last measured it. It
// reports false where the kernel provides none.
func RoundTripTime(c net.Conn) (clock.Milli, bool) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0, false
	}
	rawConn, err := s.SyscallConn()
	if err != nil {
		return 0, false
	}
	var info *unix.TCPInfo
	var sysErr error
	err = rawConn.Control(func(fd uintptr) {
		info, sysErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || sysErr != nil {
		return 0, false
	}

	return clock.Milli(info.Rtt) / microsecondsPerMilli, true
}

// microsecondsPerMilli converts the unit of the kernel's TCP_INFO.
const microsecondsPerMilli = 1000

// NewDialer returns a dialer for TCP connections without keep-alive probes. Connecting is limited by
// connectTimeout. A connection fails when written bytes stay unacknowledged for userTimeout, the socket option
// TCP_USER_TIMEOUT.
func NewDialer(connectTimeout, userTimeout clock.Milli) *net.Dialer {
	return &net.Dialer{
		Timeout: connectTimeout.Duration(), KeepAlive: -1,
		ControlContext: func(_ context.Context, _, _ string, c syscall.RawConn) error {
			var sysErr error
			err := c.Control(func(fd uintptr) {
				sysErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout))
			})
			if err != nil {
				return errors.WithStack(err)
			}

			return errors.WithStack(sysErr)
		},
	}
}
