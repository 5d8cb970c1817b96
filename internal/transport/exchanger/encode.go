package exchanger

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
)

// maxInlineBody is the largest body, in bytes, that is written before the response is read; it is well below what a socket buffer holds.
const maxInlineBody = 4 << 10

// bodyWriteSize is the size, in bytes, of the pieces in which a long body is written, so that a replica's early response is noticed before the rest has been.
const bodyWriteSize = 4 << 10

var (
	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// encodedCall is a call as it is written to each replica.
type encodedCall struct {
	once    sync.Once
	request *http.Request
	// head holds the request line and the header fields that are the same for all attempts, without the empty line.
	head []byte
	err  error
}

// encode returns the encoded call. It is encoded once, since a query over many shards is sent to each of them.
func (c *Call) encode(codec Codec) *encodedCall {
	c.encoded.once.Do(func() { c.encoded.init(c, codec) })
	return &c.encoded
}

func (c *encodedCall) init(call *Call, codec Codec) {
	if c.request, c.err = codec.Encode(call); c.err != nil {
		return
	}
	w := &headWriter{}
	if c.err = c.request.Write(w); c.err != nil {
		return
	}
	c.head, c.err = setTarget(w.head, call)
}

// setTarget replaces the request line of an encoded head by one with the call's path and query byte for byte. net/http puts a colon before a path that begins with two slashes.
func setTarget(head []byte, call *Call) ([]byte, error) {
	isSeparator := func(b rune) bool { return b <= ' ' || b == 0x7f }
	if call.Path == "" || strings.ContainsFunc(call.Path, isSeparator) {
		return nil, &InvalidTargetError{
			Target: call.Path,
		}
	}
	_, fields, _ := bytes.Cut(head, lineEnd)
	line := call.Method + " " + call.Path + " HTTP/1.1\r\n"
	return append([]byte(line), fields...), nil
}

// InvalidTargetError reports a path and query that can't be part of a request line.
type InvalidTargetError struct {
	Target string
}

// Error returns the target.
func (e *InvalidTargetError) Error() string {
	return fmt.Sprintf("invalid request target %q", e.Target)
}

// headWriter keeps what is written to it up to the empty line after the header.
type headWriter struct {
	head     []byte
	complete bool
}

// Write keeps the bytes of the head and discards the others.
func (w *headWriter) Write(content []byte) (int, error) {
	if w.complete {
		return len(content), nil
	}
	w.head = append(w.head, content...)
	if end := bytes.Index(w.head, headEnd); end >= 0 {
		w.head = w.head[:end+len(lineEnd)]
		w.complete = true
	}
	return len(content), nil
}

// requestBuffers holds buffers for short requests.
var requestBuffers = sync.Pool{
	New: func() any { return new(bytes.Buffer) },
}

// writeBuffered writes a short request with a single write.
func writeBuffered(conn *connection, request *http.Request) error {
	buffer, _ := requestBuffers.Get().(*bytes.Buffer)
	defer requestBuffers.Put(buffer)
	buffer.Reset()
	if err := request.Write(buffer); err != nil {
		return err
	}
	_, err := conn.Write(buffer.Bytes())
	return err
}

// requestWriter writes one request.
type requestWriter struct {
	conn   *connection
	head   []byte
	fields []byte
	body   []byte
	done   chan<- error
}

// start writes a short request synchronously. It writes a long one concurrently with reading the response, since a replica may respond before it has read the whole request.
func (w *requestWriter) start() {
	if len(w.body) <= maxInlineBody {
		w.done <- w.write(w.body)
		return
	}
	go w.run()
}

func (w *requestWriter) run() {
	err := w.write(nil)
	for rest := w.body; err == nil && len(rest) > 0; {
		chunk := rest[:min(len(rest), bodyWriteSize)]
		rest = rest[len(chunk):]
		_, err = w.conn.Write(chunk)
	}
	w.done <- err
}

// write writes the head and the start of the body with a single write.
func (w *requestWriter) write(body []byte) error {
	buffer, _ := requestBuffers.Get().(*bytes.Buffer)
	defer requestBuffers.Put(buffer)
	buffer.Reset()
	buffer.Write(w.head)
	buffer.Write(w.fields)
	buffer.Write(lineEnd)
	buffer.Write(body)
	_, err := w.conn.Write(buffer.Bytes())
	return err
}
