package sender

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

// maxSearchResponse is the maximum size of an upstream's response to a search, in bytes.
const maxSearchResponse = 16 << 20

// Result is the result of a search attempt: a reply or an error.
type Result struct {
	Attempt uint64
	Reply   *wire.SearchResponse
	Err     error
	// NotStarted is the upstream's statement that it started no work, or nil.
	NotStarted *wire.NotStarted
	// Forwarded is true if the attempt was forwarded to an owner; QueueWait is the queueing time that the owner expects for the next one.
	Forwarded    bool
	QueueWait    time.Duration
	NotForwarded *wire.NotForwarded
	// ContextDone is true if a forwarded attempt failed after its deadline had passed or Cancel was called.
	ContextDone bool
}

// Sender holds one multiplexed connection to each upstream. Cancelling a search resets its stream and leaves the connection open.
type Sender struct {
	// Connections counts and limits the connections to each upstream.
	Connections *ConnectionLimiter

	upstreamHTTPClient *http.Client
	mutex              sync.Mutex
	upstreamClients    map[string]wireconnect.UpstreamServiceClient
	// peerHTTPClient and peerClients reach other entry instances, to which connections are not limited.
	peerHTTPClient *http.Client
	peerClients    map[string]wireconnect.PeerServiceClient
	cancels        map[uint64]context.CancelFunc
	results        chan<- Result
	calls          sync.WaitGroup
}

// New returns a sender that reports the result of each search and forward to results; allowance returns how many connections to an address are currently allowed.
func New(results chan<- Result, allowance func(ctx context.Context, address string) int) *Sender {
	connections := NewConnectionLimiter(allowance)
	upstreamHTTPClient := listener.NewSingleConnectionClient(connections.dialSearch)
	upstreamHTTPClient.Transport = listener.NewLimitedTransport(upstreamHTTPClient.Transport, maxSearchResponse)
	return &Sender{
		Connections:        connections,
		upstreamHTTPClient: upstreamHTTPClient,
		upstreamClients:    map[string]wireconnect.UpstreamServiceClient{},
		peerHTTPClient:     listener.NewClient(),
		peerClients:        map[string]wireconnect.PeerServiceClient{},
		cancels:            map[uint64]context.CancelFunc{},
		results:            results,
	}
}

// Search sends the request to the address. The result is always reported, also after Cancel.
func (s *Sender) Search(address string, request *wire.SearchRequest, deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	c := &searchCall{
		sender:  s,
		client:  s.registerSearch(address, request.GetAttempt(), cancel),
		request: request,
	}
	s.calls.Add(1)
	go c.run(ctx)
}

// Cancel cancels a search or forward whose reply is no longer needed.
func (s *Sender) Cancel(attempt uint64) {
	s.mutex.Lock()
	cancel, ok := s.cancels[attempt]
	s.mutex.Unlock()
	if ok {
		cancel()
	}
}

// Close cancels all attempts, waits until their results are reported, which the caller must still receive, and closes the connections.
func (s *Sender) Close() {
	s.mutex.Lock()
	for _, cancel := range s.cancels {
		cancel()
	}
	s.mutex.Unlock()
	s.calls.Wait()
	s.upstreamHTTPClient.CloseIdleConnections()
	s.peerHTTPClient.CloseIdleConnections()
}

func (s *Sender) registerSearch(address string, attempt uint64, cancel context.CancelFunc) wireconnect.UpstreamServiceClient {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cancels[attempt] = cancel
	client, ok := s.upstreamClients[address]
	if !ok {
		client = wireconnect.NewUpstreamServiceClient(s.upstreamHTTPClient, "http://"+address, connect.WithReadMaxBytes(maxSearchResponse))
		s.upstreamClients[address] = client
	}
	return client
}

func (s *Sender) removeAttempt(attempt uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cancels[attempt]()
	delete(s.cancels, attempt)
}

// searchCall is one search in flight.
type searchCall struct {
	sender  *Sender
	client  wireconnect.UpstreamServiceClient
	request *wire.SearchRequest
}

func (c *searchCall) run(ctx context.Context) {
	defer c.sender.calls.Done()
	result := Result{
		Attempt: c.request.GetAttempt(),
	}
	response, err := c.client.Search(ctx, connect.NewRequest(c.request))
	if err != nil {
		result.Err = err
		result.NotStarted = listener.ErrorDetail[*wire.NotStarted](err)
	} else {
		result.Reply = response.Msg
	}
	c.sender.removeAttempt(result.Attempt)
	c.sender.results <- result
}
