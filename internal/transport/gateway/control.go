package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

const (
	// redirectPause is the wait between two rounds over the control instances.
	redirectPause = 20 * time.Millisecond
	// silentFor is how long a control instance that did not answer is asked last.
	silentFor = time.Second
	// leastTry is the least time that one control instance is given to answer.
	leastTry = 100 * time.Millisecond
)

// ControlClient reaches the control instance that leads.
type ControlClient struct {
	http      *http.Client
	addresses []string
	mutex     sync.Mutex
	leader    string
	silent    map[string]time.Time
}

// NewControlClient returns a client of the control instances at the addresses.
func NewControlClient(addresses []string) *ControlClient {
	return &ControlClient{
		http:      listener.NewClient(),
		addresses: addresses,
		silent:    map[string]time.Time{},
	}
}

func (c *ControlClient) at(address string) wireconnect.ControlServiceClient {
	return wireconnect.NewControlServiceClient(c.http, "http://"+address)
}

// all returns the addresses of every control instance.
func (c *ControlClient) all() []string { return c.addresses }

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
		addresses := c.order()
		for i := 0; i < len(addresses) && ctx.Err() == nil; i++ {
			response, err := callOne(ctx, c, addresses[i], call)
			if err == nil {
				c.setLeader(addresses[i])
				return response.Msg, nil
			}
			// No other control instance would take what is wrong in itself.
			if connect.CodeOf(err) == connect.CodeInvalidArgument {
				return nil, err
			}
			last = err
			hint := listener.ErrorDetail[*wire.NotLeader](err).GetLeaderAddress()
			c.setLeader(hint)
			if hint != "" && !slices.Contains(addresses, hint) {
				addresses = append(addresses, hint)
			}
		}
		pause(ctx, redirectPause)
	}
	return nil, errors.Join(last, ctx.Err())
}

// callOne gives one control instance its share of the time left, so that a silent one holds up no other.
func callOne[T any](ctx context.Context, c *ControlClient, address string, call func(context.Context, wireconnect.ControlServiceClient) (*connect.Response[T], error)) (*connect.Response[T], error) {
	limit := leastTry
	if deadline, ok := ctx.Deadline(); ok {
		limit = max(limit, time.Until(deadline)/time.Duration(len(c.addresses)))
	}
	one, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	response, err := call(one, c.at(address))
	if err != nil && one.Err() != nil {
		c.markSilent(address)
	}
	return response, err
}

// order returns the addresses to try: the leader's first where it is known, silent ones last.
func (c *ControlClient) order() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	rest := slices.DeleteFunc(slices.Clone(c.addresses), func(address string) bool { return address == c.leader })
	slices.SortStableFunc(rest, func(a, b string) int { return c.silent[a].Compare(c.silent[b]) })
	if c.leader == "" {
		return rest
	}
	return append([]string{c.leader}, rest...)
}

// setLeader notes which of the configured addresses leads, unless that one has just been silent.
func (c *ControlClient) setLeader(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if time.Since(c.silent[address]) < silentFor || !slices.Contains(c.addresses, address) {
		address = ""
	}
	c.leader = address
}

func (c *ControlClient) markSilent(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.silent[address] = time.Now()
}

func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}
