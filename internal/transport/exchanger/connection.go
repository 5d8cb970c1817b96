package exchanger

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBuffer fits a usual answer's head; larger bodies are read past it, in bytes.
	readBuffer = 2 << 10
	// unacknowledgedLimit ends a connection whose peer acknowledges nothing any more, in milliseconds.
	unacknowledgedLimit = 1500
)

// connection is one open connection to a replica.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// wrote counts the bytes handed to the system for the present attempt.
	wrote int
	// idleSince and expires bound how long it may lie idle.
	idleSince time.Time
	expires   time.Time
	// kept says that it has lain idle, and may have ended meanwhile.
	kept bool
}

func newConnection(raw net.Conn) *connection {
	c := &connection{
		Conn: raw,
	}
	c.reader = bufio.NewReaderSize(raw, readBuffer)
	return c
}

// Write counts what has left, so that an attempt of which nothing did can be made again.
func (c *connection) Write(content []byte) (int, error) {
	n, err := c.Conn.Write(content)
	c.wrote += n
	return n, err
}

// isSound reports whether an idle connection has neither ended nor anything left over from an earlier answer.
func (c *connection) isSound(now time.Time) bool {
	if c.reader.Buffered() > 0 || !c.expires.IsZero() && now.After(c.expires) {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	sound := false
	err = control.Read(func(fd uintptr) bool {
		var probe [1]byte
		_, _, err := unix.Recvfrom(int(fd), probe[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		sound = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && sound
}

// setUserTimeout lets the system end a connection whose peer has vanished.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, unacknowledgedLimit)
	})
	return errors.Join(err, failed)
}
