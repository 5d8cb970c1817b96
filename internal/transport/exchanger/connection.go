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
	// readBufferSize is in bytes and fits the header of a typical response; reads of larger bodies bypass the buffer.
	readBufferSize = 2 << 10
	// userTimeout is how long sent data may stay unacknowledged before the kernel closes the connection.
	userTimeout = 1500 * time.Millisecond
	// maxHeadSize limits the head of a response, together with the interim ones before it, in bytes.
	maxHeadSize = 64 << 10
)

var errHeadTooLarge = errors.New("answer's head too large")

// connection is an open connection to a replica.
type connection struct {
	net.Conn
	reader   *bufio.Reader
	openedAt time.Time
	// bytesWritten counts the bytes of the current attempt that were passed to the kernel.
	bytesWritten int
	// idleSince and expiresAt limit how long the connection may stay idle; a zero expiresAt sets no limit.
	idleSince time.Time
	expiresAt time.Time
	// wasIdle is true once the connection has been in the pool, where the replica may have closed it.
	wasIdle bool
	// isReadingHead is true while headLeft limits the bytes to read.
	isReadingHead bool
	headLeft      int
}

func newConnection(raw net.Conn) *connection {
	c := &connection{
		Conn:     raw,
		openedAt: time.Now(),
	}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c
}

// startHead limits the bytes read until endHead is called.
func (c *connection) startHead() {
	c.isReadingHead = true
	c.headLeft = maxHeadSize
}

func (c *connection) endHead() { c.isReadingHead = false }

// Read fails once the head of a response is larger than maxHeadSize.
func (c *connection) Read(content []byte) (int, error) {
	if c.isReadingHead && c.headLeft <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := c.Conn.Read(content)
	c.headLeft -= n
	return n, err
}

// Write counts the bytes written, so that an attempt that wrote none can be retried on another connection.
func (c *connection) Write(content []byte) (int, error) {
	n, err := c.Conn.Write(content)
	c.bytesWritten += n
	return n, err
}

// isReusable reports whether an idle connection has not expired, is still open and has no unread bytes.
func (c *connection) isReusable(now time.Time) bool {
	if c.reader.Buffered() > 0 || !c.expiresAt.IsZero() && now.After(c.expiresAt) {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	isQuiet := false
	err = rawConn.Read(func(fd uintptr) bool {
		var probe [1]byte
		_, _, err := unix.Recvfrom(int(fd), probe[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isQuiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && isQuiet
}
