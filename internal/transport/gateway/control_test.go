package gateway

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"pimentogate.example/pimentogate/internal/protocol/checker"
	"pimentogate.example/pimentogate/internal/transport/controller"
	"pimentogate.example/pimentogate/internal/transport/depositor"
	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/internal/transport/storer"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

// leader is a control instance that grants every claim.
type leader struct {
	wireconnect.UnimplementedControlServiceHandler
}

// Claim grants the claim.
func (*leader) Claim(context.Context, *connect.Request[wire.ClaimRequest]) (*connect.Response[wire.ClaimResponse], error) {
	return connect.NewResponse(&wire.ClaimResponse{
		Verdict: wire.ClaimVerdict_CLAIM_VERDICT_GRANTED,
	}), nil
}

// follower is a control instance that rejects every claim and names the leader.
type follower struct {
	wireconnect.UnimplementedControlServiceHandler

	leader string
}

// Claim returns an error that names the leader.
func (f *follower) Claim(context.Context, *connect.Request[wire.ClaimRequest]) (*connect.Response[wire.ClaimResponse], error) {
	notLeaderErr := connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf("leader is %s", f.leader))
	if detail, err := connect.NewErrorDetail(&wire.NotLeader{
		LeaderAddress: f.leader,
	}); err == nil {
		notLeaderErr.AddDetail(detail)
	}
	return nil, notLeaderErr
}

func serveControl(t *testing.T, handler wireconnect.ControlServiceHandler) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewControlServiceHandler(handler))
	server, err := listener.New("127.0.0.1:0", mux)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server.Address()
}

// unresponsiveAddress returns an address that accepts connections and never answers, like a frozen instance.
func unresponsiveAddress(t *testing.T) string {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	return socket.Addr().String()
}

func TestClaimSkipsUnresponsiveControl(t *testing.T) {
	leaderAddress := serveControl(t, &leader{})
	unresponsive := unresponsiveAddress(t)
	cases := []struct {
		name      string
		addresses []string
	}{
		{"first instance unresponsive", []string{unresponsive, leaderAddress}},
		{"two of three instances unresponsive", []string{unresponsive, unresponsiveAddress(t), leaderAddress}},
		{"follower names an unresponsive leader", []string{unresponsive, serveControl(t, &follower{leader: unresponsive}), leaderAddress}},
		{"follower names a leader that is not configured", []string{unresponsive, serveControl(t, &follower{leader: leaderAddress})}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := NewControlClient(c.addresses)
			for i := range 3 {
				ctx, cancel := context.WithTimeout(t.Context(), claimTimeout)
				response, err := client.claim(ctx, &wire.ClaimRequest{})
				cancel()
				if err != nil || response.GetVerdict() != wire.ClaimVerdict_CLAIM_VERDICT_GRANTED {
					t.Errorf("claim %d: %v, %v", i, response, err)
				}
			}
		})
	}
}

// startControls starts count control instances in this process, each with its own data folder, and returns their
// addresses.
func startControls(b *testing.B, count int) []string {
	b.Helper()
	var members []checker.ControlMember
	var wireMembers []*wire.ControlMember
	var addresses []string
	for i := range count {
		address := fmt.Sprintf("127.0.0.1:%d", 14000+i)
		addresses = append(addresses, address)
		members = append(members, checker.ControlMember{
			ID:      fmt.Sprint("control-", i),
			Address: address,
		})
		wireMembers = append(wireMembers, &wire.ControlMember{
			Id:      fmt.Sprint("control-", i),
			Address: address,
		})
	}
	for _, member := range members {
		folder := filepath.Join(b.TempDir(), member.ID)
		if err := storer.Form(folder, member.ID, wireMembers); err != nil {
			b.Fatal(err)
		}
		c, err := controller.New(&checker.ControlSettings{
			Instance:          member.ID,
			Zone:              "a",
			Listen:            member.Address,
			DataFolder:        folder,
			Members:           members,
			ElectionTimeoutMs: 500,
		}, logr.Discard(), tally.NoopScope, nil)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = c.Close() })
	}
	return addresses
}

// BenchmarkClaims measures a claim through three control instances that sync to disk, with different numbers of
// concurrent callers.
func BenchmarkClaims(b *testing.B) {
	for _, callers := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(callers, " callers"), func(b *testing.B) {
			client := NewControlClient(startControls(b, 3))
			time.Sleep(2 * time.Second)
			var lastKey atomic.Int64
			keyTimeMs := time.Now().UnixMilli()
			b.SetParallelism(callers)
			b.ResetTimer()
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					ctx, cancel := context.WithTimeout(b.Context(), 5*time.Second)
					_, err := client.claim(ctx, &wire.ClaimRequest{
						Service:   "s",
						Key:       fmt.Sprint(lastKey.Add(1)),
						KeyTimeMs: keyTimeMs,
					})
					cancel()
					if err != nil {
						b.Error(err)
					}
				}
			})
		})
	}
}

// BenchmarkOutcomeRecord measures how much the recording of an outcome delays an answer while the queue has room.
func BenchmarkOutcomeRecord(b *testing.B) {
	// Without addresses, the records stay queued while the background loop keeps trying to send them.
	noAddresses := func() []string { return nil }
	bounds := outcomeRecordBounds
	bounds.QueueCapacity = math.MaxInt
	l := &outcomeLog{
		Depositor: depositor.New("entry-1", bounds, nil, noAddresses, tally.NoopScope.Counter(""), logr.Discard()),
	}
	for b.Loop() {
		l.recordQuery(tracedAnswer{})
	}
	b.StopTimer()
	l.Close()
}
