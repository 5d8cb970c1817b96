package exchanger

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/scatterer"
)

const (
	// mostForeign is how many answers to earlier requests are passed over before a connection is given up.
	mostForeign = 3
	// mostBody bounds an answer held in memory, in bytes.
	mostBody = 16 << 20
	// idleMargin is how long before the replica's own limit an idle connection is given up.
	idleMargin = 500 * time.Millisecond
)

// Target is where an attempt goes.
type Target struct {
	Replica string
	Service string
	Address string
	// Zone is the replica's availability zone.
	Zone string
}

// Call is what is sent, the same at each attempt.
type Call struct {
	ID     string
	Method string
	Host   string
	// Path is the path with the query, as the caller sent it.
	Path   string
	Header http.Header
	Body   []byte
	// Once says that the request may run at most once.
	Once bool
}

// Codec turns attempts into the protocol of the replicas and back.
type Codec interface {
	// Encode returns the request for the replica, which may work on it for the time left.
	Encode(call *Call, replica string, left time.Duration) (*http.Request, error)
	// Decode says what a whole answer means; false where it belongs to another request.
	Decode(call *Call, response *http.Response, body []byte) (scatterer.Outcome, bool)
}

// Exchanger carries attempts to replicas.
type Exchanger struct {
	codec Codec
	pools *pools
}

// New returns an exchanger without connections; limit is how many it may have to a replica, and opened is told of each new one.
func New(codec Codec, limit func(Target) int, opened func()) *Exchanger {
	return &Exchanger{
		codec: codec,
		pools: &pools{
			byID:  map[string]*pool{},
			limit: limit,
			dialer: net.Dialer{
				Control: setUserTimeout,
			},
			opened: opened,
		},
	}
}

// Warm opens a connection to a replica that has none, for the first request to use.
func (e *Exchanger) Warm(ctx context.Context, target Target) error { return e.pools.warm(ctx, target) }

// Forget closes the connections to a replica that is gone.
func (e *Exchanger) Forget(replica string) { e.pools.forget(replica) }

// Open returns how many connections are open, in use or idle.
func (e *Exchanger) Open() int { return e.pools.count() }

// Exchange is one attempt under way, which may be shortened.
type Exchange struct {
	mutex    sync.Mutex
	conn     net.Conn
	deadline time.Time
	given    bool
	cancel   context.CancelFunc
}

// NewExchange returns an attempt that ends by the deadline.
func NewExchange(deadline time.Time) *Exchange {
	return &Exchange{
		deadline: deadline,
	}
}

// Shorten ends the attempt by an earlier moment, since nobody waits for it any more.
func (x *Exchange) Shorten(deadline time.Time) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.given = true
	if !deadline.Before(x.deadline) {
		return
	}
	x.deadline = deadline
	if x.conn != nil {
		_ = x.conn.SetDeadline(deadline)
	} else if x.cancel != nil {
		x.cancel()
	}
}

// attach ties the connection to the attempt's deadline; false where nobody waits any more, and nothing need be sent.
func (x *Exchange) attach(conn net.Conn) bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.given {
		return false
	}
	x.conn = conn
	_ = conn.SetDeadline(x.deadline)
	return true
}

// detach unties the connection, so that a late call of Shorten does not reach its next attempt.
func (x *Exchange) detach() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.conn = nil
}

func (x *Exchange) isGivenUp() bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.given
}

func (x *Exchange) begin() (context.Context, context.CancelFunc) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	ctx, cancel := context.WithDeadline(context.Background(), x.deadline)
	x.cancel = cancel
	return ctx, cancel
}

// Do carries the attempt out; stopWork is when the replica is to stop working on it.
func (e *Exchanger) Do(x *Exchange, call *Call, target Target, stopWork time.Time) scatterer.Outcome {
	for {
		conn, err := e.pools.get(x, target, call.Once)
		if err != nil {
			return unsent(x, "no connection: "+causeOf(err))
		}
		again, outcome := e.attempt(x, conn, call, target, stopWork)
		if !again {
			return outcome
		}
	}
}

// attempt uses one connection; it reports true where a kept connection had ended before a byte was written, so that another may be used.
func (e *Exchanger) attempt(x *Exchange, conn *connection, call *Call, target Target, stopWork time.Time) (bool, scatterer.Outcome) {
	if !x.attach(conn) {
		e.pools.put(target, conn, true)
		return false, unsent(x, "nobody waits")
	}
	left := time.Until(stopWork)
	request, err := e.codec.Encode(call, target.Replica, left)
	if err != nil || left <= 0 {
		x.detach()
		e.pools.put(target, conn, true)
		return false, unsent(x, "no time left")
	}
	sent := make(chan error, 1)
	e.send(conn, request, len(call.Body), sent)
	outcome, keep, err := e.receive(conn, call, request)
	x.detach()
	if err == nil {
		keep = keep && isWritten(sent)
		_ = conn.SetDeadline(time.Time{})
		e.pools.put(target, conn, keep)
		return false, outcome
	}
	e.pools.put(target, conn, false)
	if nothingLeft(conn, sent) {
		return conn.kept && !x.isGivenUp(), unsent(x, "connection had ended")
	}
	return false, broken(x, err)
}

// inlineBody is the size up to which a request is written before its answer is read, well below what a socket takes at once, in bytes.
const inlineBody = 4 << 10

// send writes the request, a long one beside the reading, since a replica may answer before it has read all.
func (e *Exchanger) send(conn *connection, request *http.Request, size int, sent chan<- error) {
	if size <= inlineBody {
		sent <- writeAtOnce(conn, request)
		return
	}
	w := &writer{
		conn:    conn,
		request: request,
		sent:    sent,
	}
	go w.run()
}

// buffers hold short requests while they are written.
var buffers = sync.Pool{
	New: func() any { return new(bytes.Buffer) },
}

// writeAtOnce writes a short request in one piece.
func writeAtOnce(conn *connection, request *http.Request) error {
	buffer, _ := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(buffer)
	buffer.Reset()
	if err := request.Write(buffer); err != nil {
		return err
	}
	_, err := conn.Write(buffer.Bytes())
	return err
}

// writer writes one long request.
type writer struct {
	conn    *connection
	request *http.Request
	sent    chan<- error
}

func (w *writer) run() { w.sent <- w.request.Write(w.conn) }

// isWritten reports whether the whole request had left when its answer was complete; a connection that is still owed a rest is of no more use.
func isWritten(sent <-chan error) bool {
	select {
	case err := <-sent:
		return err == nil
	default:
		return false
	}
}

// nothingLeft reports whether it is proved that no byte of the request has left.
func nothingLeft(conn *connection, sent <-chan error) bool {
	select {
	case err := <-sent:
		return err != nil && conn.wrote == 0
	case <-time.After(writeEnds):
		return false
	}
}

// writeEnds is how long the writing of a long request may take to notice that its connection is closed.
const writeEnds = 100 * time.Millisecond

// receive reads answers until one belongs to the call.
func (e *Exchanger) receive(conn *connection, call *Call, request *http.Request) (scatterer.Outcome, bool, error) {
	for range mostForeign {
		response, body, err := readAnswer(conn, request) //nolint:bodyclose // readAnswer has read and closed it
		if err != nil {
			return scatterer.Outcome{}, false, err
		}
		outcome, own := e.codec.Decode(call, response, body)
		if !own {
			continue
		}
		keep := !response.Close && isFramed(response) && conn.reader.Buffered() == 0
		conn.expires = expiry(response)
		return outcome, keep, nil
	}
	return scatterer.Outcome{}, false, errForeign
}

var (
	errForeign = errors.New("only answers to other requests")
	errLarge   = errors.New("answer too large")
)

// readAnswer reads one whole answer, passing over interim ones.
func readAnswer(conn *connection, request *http.Request) (*http.Response, []byte, error) {
	for {
		response, err := http.ReadResponse(conn.reader, request)
		if err != nil {
			return nil, nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		body, err := readBody(response)
		if err != nil {
			return nil, nil, err
		}
		return response, body, response.Body.Close()
	}
}

// readBody reads a body, at once where its length is known.
func readBody(response *http.Response) ([]byte, error) {
	switch {
	case response.Body == http.NoBody:
		return nil, nil
	case response.ContentLength > mostBody:
		return nil, errLarge
	case response.ContentLength >= 0:
		body := make([]byte, response.ContentLength)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, mostBody+1))
	if err == nil && len(body) > mostBody {
		return nil, errLarge
	}
	return body, err
}

// isFramed reports whether the answer's end was marked by anything but the end of the connection.
func isFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

func unsent(x *Exchange, cause string) scatterer.Outcome {
	if x.isGivenUp() {
		cause = scatterer.CauseCancelled
	}
	return scatterer.Outcome{
		Kind:  scatterer.OutcomeUnsent,
		Cause: cause,
	}
}

func broken(x *Exchange, err error) scatterer.Outcome {
	cause := causeOf(err)
	if x.isGivenUp() {
		cause = scatterer.CauseCancelled
	}
	return scatterer.Outcome{
		Kind:  scatterer.OutcomeBroken,
		Cause: cause,
	}
}

// causeOf says in a few words, without addresses, what an error is.
func causeOf(err error) string {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout(), errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "connection ended"
	case errors.Is(err, errForeign), errors.Is(err, errLarge):
		return err.Error()
	default:
		var op *net.OpError
		if errors.As(err, &op) && op.Err != nil {
			return op.Op + ": " + op.Err.Error()
		}
		return "not an answer: " + err.Error()
	}
}
