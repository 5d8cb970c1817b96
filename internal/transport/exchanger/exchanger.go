package exchanger

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"syscall"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/limiter"
	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/internal/transport/listener"
)

const (
	// maxForeignResponses is how many responses to other requests are discarded before the connection is closed.
	maxForeignResponses = 3
	// idleMargin is how long before the idle timeout announced by the replica a connection is no longer used.
	idleMargin = 500 * time.Millisecond
)

// Target is the replica that an attempt is sent to.
type Target struct {
	Replica string
	Service string
	Address string
	// Zone is the replica's availability zone.
	Zone string
}

// Call is a request, identical for each attempt.
type Call struct {
	ID     string
	Method string
	Host   string
	// Path is the path and query as received from the caller.
	Path string
	// Caller identifies who sent the request, by the credentials; empty if it has none.
	Caller string
	Header http.Header
	Body   []byte
	// AtMostOnce is true for a request that must not run more than once.
	AtMostOnce bool

	encoded encodedCall
}

// Codec translates between calls and the protocol of the replicas.
type Codec interface {
	// Encode returns the request without the header fields that differ between attempts.
	Encode(call *Call) (*http.Request, error)
	// AppendFields appends the other header fields, each as a line that ends with CRLF; timeLeft is how long the replica may work on the request.
	AppendFields(lines []byte, replica string, timeLeft time.Duration) []byte
	// Decode interprets a complete response. It returns false if the response belongs to another request.
	Decode(call *Call, response *http.Response, body []byte) (scatterer.Outcome, bool)
}

// Exchanger sends attempts to replicas and pools the connections.
type Exchanger struct {
	codec   Codec
	accepts func(Target) bool
	pools   *poolSet
	bodies  *bodyStore
}

// New returns an exchanger without connections. connectionLimit returns the maximum number of connections to a replica, accepts reports whether an attempt may still be sent to it, and onOpen is called for each connection opened.
func New(codec Codec, connectionLimit func(Target) int, accepts func(Target) bool, onOpen func()) *Exchanger {
	return &Exchanger{
		codec:   codec,
		accepts: accepts,
		bodies:  newBodyStore(),
		pools: &poolSet{
			byID:            map[string]*pool{},
			connectionLimit: connectionLimit,
			dialer: net.Dialer{
				Control: listener.SetUserTimeout(userTimeout),
			},
			onOpen: onOpen,
		},
	}
}

// Preconnect opens a connection to a replica that has none, so that the first request needs no dial.
func (e *Exchanger) Preconnect(ctx context.Context, target Target) error {
	return e.pools.preconnect(ctx, target)
}

// IsConnected reports whether there is a connection to the replica, or one is being opened.
func (e *Exchanger) IsConnected(target Target) bool { return e.pools.isConnected(target) }

// Probe sends a GET request to the address over a connection of its own and returns nil if there is any response.
func (e *Exchanger) Probe(ctx context.Context, address, path string) error {
	raw, err := e.pools.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	conn := newConnection(raw)
	defer func() { _ = conn.Close() }()
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	request := &http.Request{
		Method: http.MethodGet,
		URL: &url.URL{
			Opaque: path,
		},
		Host:  address,
		Close: true,
	}
	if err := writeBuffered(conn, request); err != nil {
		return err
	}
	response, err := readHead(conn, request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// RemoveReplica closes the idle connections of a replica that no longer exists; connections in use are closed when their attempts end.
func (e *Exchanger) RemoveReplica(replica string) { e.pools.removeReplica(replica) }

// OpenConnections returns the number of connections in use, idle or being opened.
func (e *Exchanger) OpenConnections() int { return e.pools.openConnections() }

// Exchange is one attempt in flight, which its caller may abandon.
type Exchange struct {
	mutex     sync.Mutex
	conn      net.Conn
	deadline  time.Time
	abandoned bool
	// dialing is set while a connection is opened for the attempt, attached once it has had one, and withdrawn if it never will.
	dialing   bool
	attached  bool
	withdrawn bool
	// final is set if the attempt is not to be sent again should its connection turn out to be closed before a byte was written.
	final  bool
	cancel context.CancelFunc
}

// NewExchange returns an attempt that ends by the deadline.
func NewExchange(deadline time.Time) *Exchange {
	return &Exchange{
		deadline: deadline,
	}
}

// Abandon marks the attempt as abandoned by its caller. If the given deadline is earlier than its own, the attempt ends by then, or at once while it is waiting for a connection.
func (x *Exchange) Abandon(deadline time.Time) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.abandoned = true
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

// Withdraw ends an attempt of which nothing was sent, and reports whether nothing of it was or will be sent. Unless the attempt is out of time, one that waits for a connection in use goes on. One that is out of time and has a connection ends with it.
func (x *Exchange) Withdraw(isOutOfTime bool) bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.final = x.final || isOutOfTime
	if x.attached || !x.dialing && !isOutOfTime {
		return false
	}
	x.abandoned = true
	x.withdrawn = true
	if x.cancel != nil {
		x.cancel()
	}
	return true
}

// setDialing records that a connection is opened for the attempt.
func (x *Exchange) setDialing() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.dialing = true
}

// IsWithdrawn reports whether Withdraw has ended the attempt.
func (x *Exchange) IsWithdrawn() bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.withdrawn
}

// attach applies the attempt's deadline to the connection. It returns false if the attempt is abandoned, in which case nothing is sent.
func (x *Exchange) attach(conn net.Conn) bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.abandoned {
		return false
	}
	x.conn = conn
	x.attached = true
	_ = conn.SetDeadline(x.deadline)
	return true
}

// resetUnsent makes an attempt of which nothing was written wait for another connection. It returns false if the attempt has ended.
func (x *Exchange) resetUnsent() bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.abandoned || x.final {
		return false
	}
	x.dialing = false
	x.attached = false
	return true
}

// detach dissociates the connection from the attempt, so that a late call of Abandon doesn't change the deadline of the connection's next attempt.
func (x *Exchange) detach() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.conn = nil
}

func (x *Exchange) isAbandoned() bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.abandoned
}

func (x *Exchange) newContext() (context.Context, context.CancelFunc) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	ctx, cancel := context.WithDeadline(context.Background(), x.deadline)
	x.cancel = cancel
	if x.withdrawn {
		cancel()
	}
	return ctx, cancel
}

// Do runs the attempt; stopWork is when the replica should stop working on it.
func (e *Exchanger) Do(x *Exchange, call *Call, target Target, stopWork time.Time) scatterer.Outcome {
	for {
		if !e.accepts(target) {
			return unsentOutcome(x, scatterer.CauseNotAccepting)
		}
		conn, err := e.pools.acquire(x, target, call.AtMostOnce)
		if err != nil {
			outcome := unsentOutcome(x, "no connection: "+causeOf(err))
			outcome.NoConnection = isDialError(err) && !x.isAbandoned()
			return outcome
		}
		retry, outcome := e.attempt(x, conn, call, target, stopWork)
		if !retry {
			return outcome
		}
	}
}

// attempt uses one connection. It returns true if a pooled connection turned out to be closed before a byte was written, so that the attempt can be retried on another one.
func (e *Exchanger) attempt(x *Exchange, conn *connection, call *Call, target Target, stopWork time.Time) (bool, scatterer.Outcome) {
	if !x.attach(conn) {
		e.pools.release(target, conn, true)
		return false, unsentOutcome(x, "nobody waits")
	}
	// The zone may have been drained while the attempt waited for the connection.
	if !e.accepts(target) {
		x.detach()
		e.pools.release(target, conn, true)
		return false, unsentOutcome(x, scatterer.CauseNotAccepting)
	}
	timeLeft := time.Until(stopWork)
	encoded := call.encode(e.codec)
	if encoded.err != nil || timeLeft <= 0 {
		x.detach()
		e.pools.release(target, conn, true)
		return false, unsentOutcome(x, "no time left")
	}
	writeDone := make(chan error, 1)
	w := &requestWriter{
		conn:   conn,
		head:   encoded.head,
		fields: e.codec.AppendFields(nil, target.Replica, timeLeft),
		body:   call.Body,
		done:   writeDone,
	}
	w.start()
	outcome, canReuse, err := e.receiveResponse(conn, call, encoded.request, target.Service)
	x.detach()
	if err == nil {
		canReuse = canReuse && isFullyWritten(writeDone)
		_ = conn.SetDeadline(time.Time{})
		e.pools.release(target, conn, canReuse)
		return false, outcome
	}
	e.pools.release(target, conn, false)
	if isProvenUnsent(conn, writeDone) {
		return conn.wasIdle && x.resetUnsent(), unsentOutcome(x, "connection had ended")
	}
	return false, brokenOutcome(x, err)
}

// isFullyWritten reports whether the whole request was written by the time its response was complete. Otherwise the connection can't be reused, since the replica still expects the rest of the body.
func isFullyWritten(writeDone <-chan error) bool {
	select {
	case err := <-writeDone:
		return err == nil
	default:
		return false
	}
}

// isProvenUnsent reports whether it is certain that no byte of the request was written.
func isProvenUnsent(conn *connection, writeDone <-chan error) bool {
	select {
	case err := <-writeDone:
		return err != nil && conn.bytesWritten == 0
	case <-time.After(writeEndTimeout):
		return false
	}
}

// writeEndTimeout is how long to wait for the writer of a long request to notice that its connection is closed.
const writeEndTimeout = 100 * time.Millisecond

// receiveResponse reads responses until one belongs to the call, and reports whether the connection can be reused.
func (e *Exchanger) receiveResponse(conn *connection, call *Call, request *http.Request, service string) (scatterer.Outcome, bool, error) {
	for range maxForeignResponses {
		response, body, lease, err := e.readResponse(conn, request, service) //nolint:bodyclose // readResponse has read and closed it
		if err != nil {
			return scatterer.Outcome{}, false, err
		}
		outcome, matches := e.codec.Decode(call, response, body)
		if !matches {
			lease.Release()
			continue
		}
		keep(&outcome, lease)
		canReuse := !response.Close && isFramed(response) && conn.reader.Buffered() == 0
		conn.expiresAt = keepAliveExpiry(response)
		outcome.ConnectedAt = conn.openedAt
		return outcome, canReuse, nil
	}
	return scatterer.Outcome{}, false, errForeignResponses
}

var errForeignResponses = errors.New("only answers to other requests")

// readResponse reads one complete response, skipping interim (1xx) ones. The lease holds the memory of its body.
func (e *Exchanger) readResponse(conn *connection, request *http.Request, service string) (*http.Response, []byte, *limiter.ByteLease, error) {
	response, err := readHead(conn, request)
	if err != nil {
		return nil, nil, nil, err
	}
	body, lease, err := e.bodies.read(response, service)
	if err != nil {
		return nil, nil, nil, err
	}
	return response, body, lease, response.Body.Close()
}

// readHead reads the head of a response and of the interim ones before it. The error is an *InvalidStatusError for one that HTTP/1 does not know.
func readHead(conn *connection, request *http.Request) (*http.Response, error) {
	conn.startHead()
	defer conn.endHead()
	for {
		response, err := http.ReadResponse(conn.reader, request)
		if err != nil {
			return nil, err
		}
		switch {
		case response.ProtoMajor == 1 && scatterer.IsFinalStatus(response.StatusCode):
			return response, nil
		case response.ProtoMajor == 1 && isInterimStatus(response.StatusCode):
		default:
			// What follows may look like a response, but is none to the request.
			return nil, &InvalidStatusError{
				Proto:  response.Proto,
				Status: response.Status,
			}
		}
	}
}

// isInterimStatus reports whether a response with the status is followed by another one. After 101 the connection would have another protocol, which no request asks for.
func isInterimStatus(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// InvalidStatusError reports a response whose status or version HTTP/1 does not know.
type InvalidStatusError struct {
	Proto  string
	Status string
}

// Error returns the status line.
func (e *InvalidStatusError) Error() string {
	return fmt.Sprintf("no status: %s %s", e.Proto, e.Status)
}

// isFramed reports whether the end of the body is marked by a length or by chunks rather than by closing the connection.
func isFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

func unsentOutcome(x *Exchange, cause string) scatterer.Outcome {
	if x.isAbandoned() {
		cause = scatterer.CauseCancelled
	}
	return scatterer.Outcome{
		Kind:  scatterer.OutcomeUnsent,
		Cause: cause,
	}
}

func brokenOutcome(x *Exchange, err error) scatterer.Outcome {
	outcome := scatterer.Outcome{
		Kind:           scatterer.OutcomeBroken,
		ConnectionLost: isConnectionLost(err),
		Cause:          causeOf(err),
	}
	if x.isAbandoned() {
		outcome.Cause = scatterer.CauseCancelled
	}
	return outcome
}

// isDialError reports whether a connection could not be opened, as opposed to one that did not become free in time.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// isConnectionLost reports whether the other side has ended the connection.
func isConnectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// causeOf returns a short description of the error without addresses.
func causeOf(err error) string {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout(), errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "connection ended"
	case errors.Is(err, errForeignResponses), errors.Is(err, errHeadTooLarge), errors.Is(err, errBodyTooLarge), errors.Is(err, errBodiesTooLarge):
		return err.Error()
	default:
		var op *net.OpError
		if errors.As(err, &op) && op.Err != nil {
			return op.Op + ": " + op.Err.Error()
		}
		return "not an answer: " + err.Error()
	}
}
