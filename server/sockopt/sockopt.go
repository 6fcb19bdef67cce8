// Package sockopt sets options of TCP sockets.
package sockopt

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a function for net.Dialer.Control that sets TCP_USER_TIMEOUT: the
// time for which sent data may stay unacknowledged before the kernel closes the connection.
func UserTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var sockErr error
		err := c.Control(func(fd uintptr) {
			sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		return errors.Join(err, sockErr)
	}
}
