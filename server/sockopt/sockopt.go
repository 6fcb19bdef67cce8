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
func UserTimeout(d time.Duration) Control {
	return set(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
}

// ReceiveBuffer returns a function for net.Dialer.Control that sets SO_RCVBUF: the size of the
// receive buffer, which the kernel doubles and does not change afterwards.
func ReceiveBuffer(bytes int) Control { return set(unix.SOL_SOCKET, unix.SO_RCVBUF, bytes) }

// Control is the type of net.Dialer.Control.
type Control = func(network, address string, c syscall.RawConn) error

// All returns a function that calls all of some functions.
func All(controls ...Control) Control {
	return func(network, address string, c syscall.RawConn) error {
		var errs []error
		for _, control := range controls {
			errs = append(errs, control(network, address, c))
		}
		return errors.Join(errs...)
	}
}

// set returns a function that sets an integer option.
func set(level, option, value int) Control {
	return func(_, _ string, c syscall.RawConn) error {
		var sockErr error
		err := c.Control(func(fd uintptr) { sockErr = unix.SetsockoptInt(int(fd), level, option, value) })
		return errors.Join(err, sockErr)
	}
}
