package listener

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/reclaimer"
)

const (
	// bufferedBytes is how much of what follows a request the HTTP server may have read with it, in bytes.
	bufferedBytes = 4 << 10
	// lingerBytes is how much of a refused request is read, and lingerTimeout for how long, so that its client gets the response before the connection is reset.
	lingerBytes   = 64 << 10
	lingerTimeout = 200 * time.Millisecond
	// cutOffTimeout is how long a client that is cut off has to receive the response.
	cutOffTimeout = time.Second
	// writeSize is the size of the parts in which a response is written, in bytes.
	writeSize = 64 << 10
	// streamCost is the memory that a request takes which shares its connection with others, in bytes.
	streamCost = 16 << 10
	// http2Preface is the start of a connection with HTTP/2.
	http2Preface = "PRI"
)

// Responses to requests whose head is not read to its end.
const (
	overloadResponse     = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + retryAfterOverload + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	headTooLargeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// errRefused ends the reading of a request that has been refused. The HTTP server takes it for a client that has disconnected.
var errRefused = &net.OpError{
	Op:  "read",
	Net: "tcp",
	Err: os.ErrDeadlineExceeded,
}

// conn is a connection that has passed a gate.
type conn struct {
	net.Conn

	gate *Gate
	// client is guarded by the guard's mutex.
	client   *reclaimer.Client[*conn]
	isCutOff atomic.Bool

	// mutex guards the fields below.
	mutex sync.Mutex
	head  headMeter
	// headBytes are held for the head that arrives.
	headBytes int64
	// unread bounds the bytes that the HTTP server has read beyond the current request, and lastLines the lines among them.
	unread    int64
	lastLines int
	// isInRequest is set while a request is handled.
	isInRequest bool
	isHTTP2     bool
	// lease is that of the request that is handled over HTTP/1.
	lease *Lease
	// streams is the number of requests that are handled over HTTP/2, and arriving that of those whose body is not whole.
	streams, arriving int
}

// Read reads from the connection, and counts what the head of a request takes before the server has it. A client that exceeds a limit gets a response, and the read fails.
func (c *conn) Read(content []byte) (int, error) {
	n, err := c.Conn.Read(content)
	refusal := ""
	switch {
	case n > 0:
		refusal = c.receive(content[:n])
	case err != nil && c.isCutOff.Load():
		refusal = c.cutOffResponse()
	}
	if refusal != "" {
		c.refuse(refusal)
		return 0, errRefused
	}
	return n, err
}

// receive counts the bytes, and returns the response if they exceed a limit, else "".
func (c *conn) receive(content []byte) string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.detectHTTP2(content) {
		return ""
	}
	if len(content) <= bufferedBytes {
		c.lastLines = bytes.Count(content, []byte{'\n'})
	}
	if c.isInRequest {
		c.unread += int64(len(content))
		return ""
	}
	g := c.gate.guard
	if c.head.size == 0 {
		g.setStage(c, reclaimer.Receiving)
	}
	c.unread += int64(c.head.add(content))
	if c.head.size > c.gate.options.MaxHeadBytes() {
		g.count(c, eventHeadTooLarge)
		return headTooLargeResponse
	}
	if missing := c.head.cost() - c.headBytes; missing > 0 && !g.grow(c, missing, &c.headBytes) {
		return overloadResponse
	}
	return ""
}

// detectHTTP2 reports whether the connection uses HTTP/2; the mutex must be held.
func (c *conn) detectHTTP2(content []byte) bool {
	if c.gate.options.AllowsHTTP2 && c.head.size == 0 && !c.isInRequest && strings.HasPrefix(string(content[:min(len(content), len(http2Preface))]), http2Preface) {
		c.isHTTP2 = true
	}
	return c.isHTTP2
}

// cutOffResponse returns the response to a client that is cut off while the head of its request arrives, else "".
func (c *conn) cutOffResponse() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.isHTTP2 || c.isInRequest || c.head.size == 0 {
		return ""
	}
	return overloadResponse
}

// refuse writes the response and gives the client time to receive it.
func (c *conn) refuse(response string) {
	_ = c.SetDeadline(time.Now().Add(lingerTimeout))
	// The errors are ignored: the connection is closed next.
	_, _ = io.WriteString(c.Conn, response)
	_ = c.CloseWrite()
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// cutOff ends the connection in favor of another client, at once if there is nothing to answer. A request that is arriving is refused.
func (c *conn) cutOff(stage reclaimer.Stage) {
	c.isCutOff.Store(true)
	if stage != reclaimer.Receiving {
		_ = c.Conn.Close()
		return
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	time.AfterFunc(cutOffTimeout, func() { _ = c.Conn.Close() })
}

// SetReadDeadline sets the deadline of reads, which have failed for good once the client is cut off.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	err := c.Conn.SetReadDeadline(deadline)
	if c.isCutOff.Load() {
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return err
}

// Write writes in parts, each of which the client must receive in time.
func (c *conn) Write(content []byte) (int, error) {
	defer c.startSending()()
	written := 0
	for {
		_ = c.SetWriteDeadline(time.Now().Add(c.gate.guard.writeTimeout))
		n, err := c.Conn.Write(content[written:min(len(content), written+writeSize)])
		written += n
		c.gate.guard.progress(c)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.gate.guard.count(c, eventResponseNotRead)
		}
		if err != nil || written == len(content) {
			return written, err
		}
	}
}

// startSending records that the client is to receive a part of a response, until the returned function is called.
func (c *conn) startSending() func() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.isHTTP2 {
		return func() {}
	}
	g := c.gate.guard
	before := g.stageOf(c)
	g.setStage(c, reclaimer.Sending)
	return func() { g.setStage(c, before) }
}

// CloseWrite ends what is sent, so that the client receives it whole before the connection is closed. From then on the connection gives way to any other.
func (c *conn) CloseWrite() error {
	c.gate.guard.setStage(c, reclaimer.Ending)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection, which then holds nothing.
func (c *conn) Close() error {
	g := c.gate.guard
	g.mutex.Lock()
	g.reclaimer.Close(c.client)
	g.mutex.Unlock()
	return c.Conn.Close()
}

// startRequest returns the lease of a request whose head is complete, or nil if there is no memory for it or its client is cut off.
func (c *conn) startRequest(r *http.Request) *Lease {
	if c.isCutOff.Load() {
		return nil
	}
	lease := &Lease{
		conn: c,
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	g := c.gate.guard
	if r.ProtoMajor > 1 {
		c.isHTTP2 = true
		if !g.grow(c, streamCost+requestHeadCost(r), &lease.bytes) {
			return nil
		}
		c.streams++
		if hasBody(r) {
			c.arriving++
		}
		g.setStage(c, c.streamStage())
		return lease
	}
	c.isInRequest = true
	lease.bytes, c.headBytes = c.headBytes, 0
	c.lease = lease
	if !hasBody(r) {
		g.setStage(c, reclaimer.Serving)
	}
	return lease
}

// hasBody reports whether a body follows the head of the request.
func hasBody(r *http.Request) bool { return r.Body != nil && r.Body != http.NoBody }

// streamStage returns the stage of a connection with HTTP/2; the mutex must be held.
func (c *conn) streamStage() reclaimer.Stage {
	switch {
	case c.arriving > 0:
		return reclaimer.Receiving
	case c.streams > 0:
		return reclaimer.Serving
	default:
		return reclaimer.Idle
	}
}

// finishBody records that the body of a request has arrived.
func (c *conn) finishBody() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	g := c.gate.guard
	if !c.isHTTP2 {
		g.setStage(c, reclaimer.Serving)
		return
	}
	c.arriving--
	g.setStage(c, c.streamStage())
	g.progress(c)
}

// endRequest ends the lease of a request that has been handled.
func (c *conn) endRequest(r *http.Request, body *leasedBody) {
	body.lease.end()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if r.ProtoMajor > 1 {
		c.streams--
		if hasBody(r) && !body.isWhole {
			c.arriving--
		}
		c.gate.guard.setStage(c, c.streamStage())
		return
	}
	c.lease = nil
	c.unread -= max(body.size, r.ContentLength, 0)
}

// finishRequest prepares the connection for the next request, of which a part may have been read already.
func (c *conn) finishRequest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.isHTTP2 {
		return
	}
	c.isInRequest = false
	c.head = headMeter{}
	c.headBytes = 0
	c.unread = min(max(0, c.unread), bufferedBytes)
	g := c.gate.guard
	g.setStage(c, reclaimer.Idle)
	early := headCost(int(c.unread), min(int(c.unread), c.lastLines))
	if c.unread > 0 && g.isContended(c) || early > 0 && !g.grow(c, early, &c.headBytes) {
		// The response to the request before may still be on its way.
		c.cutOff(reclaimer.Receiving)
	}
}

// currentLease returns the lease of the request that is handled over HTTP/1.
func (c *conn) currentLease() *Lease {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.lease
}

// requestHeadCost returns the memory that the head of a parsed request takes beyond the allowance, in bytes.
func requestHeadCost(r *http.Request) int64 {
	size, lines := len(r.Method)+len(r.RequestURI)+len(r.Host), 0
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
			lines++
		}
	}
	return headCost(size, lines)
}
