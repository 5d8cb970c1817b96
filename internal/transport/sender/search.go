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

// End is how a search attempt ended: with a reply or with an error.
type End struct {
	Attempt uint64
	Reply   *wire.SearchResponse
	Err     error
	// NotStarted is the upstream's word that it began no work, or nil.
	NotStarted *wire.NotStarted
	// Forwarded says that it went to an owner, which expects the next one to be queued for Wait.
	Forwarded    bool
	Wait         time.Duration
	NotForwarded *wire.NotForwarded
	// TimeUp says that it was ended here, by its deadline or by Cancel.
	TimeUp bool
}

// Sender keeps one multiplexed connection to each upstream; a cancelled search resets its stream and keeps the connection.
type Sender struct {
	// Connections counts what is open to each upstream.
	Connections *Connections

	client  *http.Client
	mutex   sync.Mutex
	clients map[string]wireconnect.UpstreamServiceClient
	// peers and owners reach other entry instances, whose connections have no limit.
	peers   *http.Client
	owners  map[string]wireconnect.PeerServiceClient
	cancels map[uint64]context.CancelFunc
	ends    chan<- End
	calls   sync.WaitGroup
}

// New returns a sender that reports the end of each search to ends, and opens connections as allowed says.
func New(ends chan<- End, allowed func(ctx context.Context, address string) int) *Sender {
	connections := NewConnections(allowed)
	return &Sender{
		Connections: connections,
		client:      listener.NewSingleClient(connections.dialSearch),
		clients:     map[string]wireconnect.UpstreamServiceClient{},
		peers:       listener.NewClient(),
		owners:      map[string]wireconnect.PeerServiceClient{},
		cancels:     map[uint64]context.CancelFunc{},
		ends:        ends,
	}
}

// Search sends the request to the address; its end is reported, also after Cancel.
func (s *Sender) Search(address string, request *wire.SearchRequest, deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	c := &call{
		sender:  s,
		client:  s.open(address, request.GetAttempt(), cancel),
		request: request,
	}
	s.calls.Add(1)
	go c.run(ctx)
}

// Cancel ends a search whose reply is no longer wanted.
func (s *Sender) Cancel(attempt uint64) {
	s.mutex.Lock()
	cancel, ok := s.cancels[attempt]
	s.mutex.Unlock()
	if ok {
		cancel()
	}
}

// Close cancels every search, waits for their ends, which the caller still has to take, and closes the connections.
func (s *Sender) Close() {
	s.mutex.Lock()
	for _, cancel := range s.cancels {
		cancel()
	}
	s.mutex.Unlock()
	s.calls.Wait()
	s.client.CloseIdleConnections()
	s.peers.CloseIdleConnections()
}

func (s *Sender) open(address string, attempt uint64, cancel context.CancelFunc) wireconnect.UpstreamServiceClient {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cancels[attempt] = cancel
	client, ok := s.clients[address]
	if !ok {
		client = wireconnect.NewUpstreamServiceClient(s.client, "http://"+address)
		s.clients[address] = client
	}
	return client
}

func (s *Sender) forget(attempt uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cancels[attempt]()
	delete(s.cancels, attempt)
}

// call is one search on its way.
type call struct {
	sender  *Sender
	client  wireconnect.UpstreamServiceClient
	request *wire.SearchRequest
}

func (c *call) run(ctx context.Context) {
	defer c.sender.calls.Done()
	end := End{
		Attempt: c.request.GetAttempt(),
	}
	response, err := c.client.Search(ctx, connect.NewRequest(c.request))
	if err != nil {
		end.Err = err
		end.NotStarted = listener.DetailOf[*wire.NotStarted](err)
	} else {
		end.Reply = response.Msg
	}
	c.sender.forget(end.Attempt)
	c.sender.ends <- end
}
