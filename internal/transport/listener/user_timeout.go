package listener

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SetUserTimeout returns a Control function for net.Dialer that makes the kernel close a connection whose sent data stays unacknowledged for longer than the timeout.
func SetUserTimeout(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		return errors.Join(err, optionErr)
	}
}
