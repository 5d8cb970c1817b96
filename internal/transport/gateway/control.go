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
	// leaderRoundDelay is the delay between two rounds of calls to the control instances.
	leaderRoundDelay = 20 * time.Millisecond
	// unresponsiveWindow is how long a control instance is not considered the leader after a call to it timed out.
	unresponsiveWindow = time.Second
	// minCallTimeout is the minimum timeout of a call to one control instance.
	minCallTimeout = 100 * time.Millisecond
)

// ControlClient calls the leader of the control instances.
type ControlClient struct {
	http      *http.Client
	addresses []string
	mutex     sync.Mutex
	leader    string
	// timedOutAt is when the last call to each address timed out, for those that have timed out.
	timedOutAt map[string]time.Time
}

// NewControlClient returns a client for the control instances at the addresses.
func NewControlClient(addresses []string) *ControlClient {
	return &ControlClient{
		http:       listener.NewClient(),
		addresses:  addresses,
		timedOutAt: map[string]time.Time{},
	}
}

func (c *ControlClient) clientFor(address string) wireconnect.ControlServiceClient {
	return wireconnect.NewControlServiceClient(c.http, "http://"+address)
}

// allAddresses returns the addresses of all control instances.
func (c *ControlClient) allAddresses() []string { return c.addresses }

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

// CallLeader tries the known leader and then every control instance until one answers or the context ends. The
// call must be idempotent.
func CallLeader[T any](ctx context.Context, c *ControlClient, call func(context.Context, wireconnect.ControlServiceClient) (*connect.Response[T], error)) (*T, error) {
	var lastErr error
	for ctx.Err() == nil {
		addresses := c.callOrder()
		for i := 0; i < len(addresses) && ctx.Err() == nil; i++ {
			response, err := callInstance(ctx, c, addresses[i], call)
			if err == nil {
				c.setLeader(addresses[i])
				return response.Msg, nil
			}
			// Every control instance rejects an invalid request.
			if connect.CodeOf(err) == connect.CodeInvalidArgument {
				return nil, err
			}
			lastErr = err
			hint := listener.ErrorDetail[*wire.NotLeader](err).GetLeaderAddress()
			c.setLeader(hint)
			if hint != "" && !slices.Contains(addresses, hint) {
				addresses = append(addresses, hint)
			}
		}
		sleep(ctx, leaderRoundDelay)
	}
	return nil, errors.Join(lastErr, ctx.Err())
}

// callInstance calls one control instance. It allows an equal share of the remaining time to each instance, so that
// an unresponsive one does not use up the deadline.
func callInstance[T any](ctx context.Context, c *ControlClient, address string, call func(context.Context, wireconnect.ControlServiceClient) (*connect.Response[T], error)) (*connect.Response[T], error) {
	timeout := minCallTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = max(timeout, time.Until(deadline)/time.Duration(len(c.addresses)))
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := call(callCtx, c.clientFor(address))
	if err != nil && callCtx.Err() != nil {
		c.markTimedOut(address)
	}
	return response, err
}

// callOrder returns the addresses to try: the leader first if it is known, then the others by their last timeout,
// instances without one first.
func (c *ControlClient) callOrder() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	rest := slices.DeleteFunc(slices.Clone(c.addresses), func(address string) bool { return address == c.leader })
	slices.SortStableFunc(rest, func(a, b string) int { return c.timedOutAt[a].Compare(c.timedOutAt[b]) })
	if c.leader == "" {
		return rest
	}
	return append([]string{c.leader}, rest...)
}

// setLeader records the leader's address. It clears the leader instead if the address is not configured or has
// timed out within unresponsiveWindow.
func (c *ControlClient) setLeader(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if time.Since(c.timedOutAt[address]) < unresponsiveWindow || !slices.Contains(c.addresses, address) {
		address = ""
	}
	c.leader = address
}

func (c *ControlClient) markTimedOut(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.timedOutAt[address] = time.Now()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
