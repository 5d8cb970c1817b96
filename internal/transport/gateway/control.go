package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

// redirectPause is the wait between two rounds over the control instances.
const redirectPause = 20 * time.Millisecond

// ControlClient reaches the control instance that leads.
type ControlClient struct {
	http      *http.Client
	addresses []string
	mutex     sync.Mutex
	leader    string
}

// NewControlClient returns a client of the control instances at the addresses.
func NewControlClient(addresses []string) *ControlClient {
	return &ControlClient{
		http:      listener.NewClient(),
		addresses: addresses,
	}
}

func (c *ControlClient) at(address string) wireconnect.ControlServiceClient {
	return wireconnect.NewControlServiceClient(c.http, "http://"+address)
}

func (c *ControlClient) claim(ctx context.Context, request *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	return CallLeader(ctx, c, func(ctx context.Context, client wireconnect.ControlServiceClient) (*connect.Response[wire.ClaimResponse], error) {
		return client.Claim(ctx, connect.NewRequest(request))
	})
}

func (c *ControlClient) record(ctx context.Context, request *wire.RecordRequest) (*wire.RecordResponse, error) {
	return CallLeader(ctx, c, func(ctx context.Context, client wireconnect.ControlServiceClient) (*connect.Response[wire.RecordResponse], error) {
		return client.Record(ctx, connect.NewRequest(request))
	})
}

// CallLeader tries the known leader, then every control instance, until one answers or the context ends; all its calls can be repeated safely.
func CallLeader[T any](ctx context.Context, c *ControlClient, call func(context.Context, wireconnect.ControlServiceClient) (*connect.Response[T], error)) (*T, error) {
	var last error
	for ctx.Err() == nil {
		for _, address := range c.order() {
			response, err := call(ctx, c.at(address))
			if err == nil {
				c.setLeader(address)
				return response.Msg, nil
			}
			last = err
			c.setLeader(leaderIn(err))
		}
		pause(ctx, redirectPause)
	}
	return nil, errors.Join(last, ctx.Err())
}

// order returns the addresses to try, the leader's first where it is known.
func (c *ControlClient) order() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.leader == "" {
		return c.addresses
	}
	return append([]string{c.leader}, c.addresses...)
}

func (c *ControlClient) setLeader(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.leader = address
}

func leaderIn(err error) string {
	var refusal *connect.Error
	if !errors.As(err, &refusal) {
		return ""
	}
	for _, detail := range refusal.Details() {
		value, err := detail.Value()
		if err != nil {
			continue
		}
		if found, ok := value.(*wire.NotLeader); ok {
			return found.GetLeaderAddress()
		}
	}
	return ""
}

func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}
