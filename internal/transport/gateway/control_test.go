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

// leader grants every claim, and follower names it.
type leader struct {
	wireconnect.UnimplementedControlServiceHandler
}

// Claim grants.
func (*leader) Claim(context.Context, *connect.Request[wire.ClaimRequest]) (*connect.Response[wire.ClaimResponse], error) {
	return connect.NewResponse(&wire.ClaimResponse{
		Verdict: wire.ClaimVerdict_CLAIM_VERDICT_GRANTED,
	}), nil
}

type follower struct {
	wireconnect.UnimplementedControlServiceHandler

	leader string
}

// Claim names the leader.
func (f *follower) Claim(context.Context, *connect.Request[wire.ClaimRequest]) (*connect.Response[wire.ClaimResponse], error) {
	refusal := connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf("leader is %s", f.leader))
	if detail, err := connect.NewErrorDetail(&wire.NotLeader{
		LeaderAddress: f.leader,
	}); err == nil {
		refusal.AddDetail(detail)
	}
	return nil, refusal
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

// silentAddress takes connections and never answers, as a frozen instance does.
func silentAddress(t *testing.T) string {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	return socket.Addr().String()
}

func TestClaimPassesOverSilentControl(t *testing.T) {
	leads := serveControl(t, &leader{})
	silent := silentAddress(t)
	cases := []struct {
		name      string
		addresses []string
	}{
		{"the first is silent", []string{silent, leads}},
		{"two of three are silent", []string{silent, silentAddress(t), leads}},
		{"a follower names one that has been silent", []string{silent, serveControl(t, &follower{leader: silent}), leads}},
		{"a follower names a leader that is not configured", []string{silent, serveControl(t, &follower{leader: leads})}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := NewControlClient(c.addresses)
			for i := range 3 {
				ctx, cancel := context.WithTimeout(t.Context(), claimTimeout)
				verdict, err := client.claim(ctx, &wire.ClaimRequest{})
				cancel()
				if err != nil || verdict.GetVerdict() != wire.ClaimVerdict_CLAIM_VERDICT_GRANTED {
					t.Errorf("claim %d: %v, %v", i, verdict, err)
				}
			}
		})
	}
}

// formControls starts control instances in this process, each with a data folder.
func formControls(b *testing.B, count int) []string {
	b.Helper()
	var members []checker.ControlMember
	var wired []*wire.ControlMember
	var addresses []string
	for i := range count {
		address := fmt.Sprintf("127.0.0.1:%d", 14000+i)
		addresses = append(addresses, address)
		members = append(members, checker.ControlMember{
			ID:      fmt.Sprint("control-", i),
			Address: address,
		})
		wired = append(wired, &wire.ControlMember{
			Id:      fmt.Sprint("control-", i),
			Address: address,
		})
	}
	for _, member := range members {
		folder := filepath.Join(b.TempDir(), member.ID)
		if err := storer.Form(folder, member.ID, wired); err != nil {
			b.Fatal(err)
		}
		c, err := controller.New(&checker.Control{
			Instance:          member.ID,
			Zone:              "a",
			Listen:            member.Address,
			DataFolder:        folder,
			Members:           members,
			ElectionTimeoutMs: 500,
		}, logr.Discard(), tally.NoopScope)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = c.Close() })
	}
	return addresses
}

// BenchmarkClaims gives the time of one claim through three control instances that sync, at numbers of callers at once.
func BenchmarkClaims(b *testing.B) {
	for _, callers := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(callers, " callers"), func(b *testing.B) {
			client := NewControlClient(formControls(b, 3))
			time.Sleep(2 * time.Second)
			var next atomic.Int64
			at := time.Now().UnixMilli()
			b.SetParallelism(callers)
			b.ResetTimer()
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					ctx, cancel := context.WithTimeout(b.Context(), 5*time.Second)
					_, err := client.claim(ctx, &wire.ClaimRequest{
						Service:   "s",
						Key:       fmt.Sprint(next.Add(1)),
						KeyTimeMs: at,
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

// BenchmarkOutcomeNote gives what a record costs an answer while the ring has room.
func BenchmarkOutcomeNote(b *testing.B) {
	// The hand-over of earlier records goes on beside.
	none := func() []string { return nil }
	bounds := outcomeBounds
	bounds.Ring = math.MaxInt
	l := &outcomeLog{
		Depositor: depositor.New("entry-1", bounds, nil, none, tally.NoopScope.Counter(""), logr.Discard()),
	}
	for b.Loop() {
		l.noteQuery(traced{})
	}
	b.StopTimer()
	l.Close()
}
