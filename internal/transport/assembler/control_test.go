package assembler

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/internal/state/cataloger"
	"pimentogate.example/pimentogate/internal/transport/gateway"
	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

// streamsPerConnection stays below what an HTTP/2 server takes on one connection.
const streamsPerConnection = 100

func startControlsFor(tb testing.TB) *Assembly {
	tb.Helper()
	a, err := Start(tb.Context(), Plan{
		Controls: 3,
		Zones:    3,
		Log:      logr.Discard(),
	})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(a.Close)
	return a
}

func limitTenant(tb testing.TB, control *gateway.ControlClient, revision uint64, tenant string) {
	tb.Helper()
	intent := &wire.Intent{
		Change: &wire.Intent_SetTenantLimit{
			SetTenantLimit: &wire.TenantLimit{
				Tenant:            tenant,
				RequestsPerSecond: 100,
				Burst:             10,
			},
		},
	}
	response, err := gateway.CallLeader(tb.Context(), control, func(ctx context.Context, client wireconnect.ControlServiceClient) (*connect.Response[wire.ConfirmResponse], error) {
		return client.Confirm(ctx, connect.NewRequest(&wire.ConfirmRequest{
			ConfirmId: fmt.Sprintf("change-%d", revision),
			Intent:    intent,
			Revision:  revision,
			Digest:    cataloger.Digest(intent, revision),
		}))
	})
	if err != nil || !response.GetAccepted() {
		tb.Fatal(response, err)
	}
}

// observer is one stream of the configuration, as an entry instance holds it.
type observer struct {
	stream *connect.BidiStreamForClient[wire.WatchRequest, wire.WatchResponse]
	seen   chan uint64
	size   int
}

func observe(tb testing.TB, client *http.Client, address string, i int) *observer {
	tb.Helper()
	o := &observer{
		stream: wireconnect.NewControlServiceClient(client, "http://"+address).Watch(tb.Context()),
		seen:   make(chan uint64, 1000),
	}
	err := o.stream.Send(&wire.WatchRequest{
		Instance: fmt.Sprintf("entry-%d", i),
	})
	if err != nil {
		tb.Fatal(err)
	}
	go o.run()
	return o
}

func (o *observer) run() {
	defer close(o.seen)
	for {
		response, err := o.stream.Receive()
		if err != nil {
			return
		}
		if response.GetConfig() != nil {
			o.size = proto.Size(response)
			o.seen <- response.GetRevision()
		}
	}
}

func (o *observer) wait(revision uint64) bool {
	for seen := range o.seen {
		if seen >= revision {
			return true
		}
	}
	return false
}

// BenchmarkWatch gives what a change and what a quiet second cost for each entry instance that one control instance feeds.
func BenchmarkWatch(b *testing.B) {
	for _, count := range []int{50, 200, 800} {
		b.Run(fmt.Sprintf("instances=%d", count), func(b *testing.B) {
			a := startControlsFor(b)
			control := gateway.NewControlClient(a.Controls())
			limitTenant(b, control, 0, "tenant-0")
			var observers []*observer
			client := listener.NewClient()
			for i := range count {
				if i%streamsPerConnection == 0 {
					client = listener.NewClient()
				}
				observers = append(observers, observe(b, client, a.members[0].Address, i))
			}
			waitAll(b, observers, 1)
			quiet := quietCPU(b)
			before := cpu(b)
			revision := uint64(1)
			for b.Loop() {
				limitTenant(b, control, revision, "tenant-0")
				revision++
				waitAll(b, observers, revision)
			}
			spent := cpu(b) - before
			b.ReportMetric(float64(spent.Microseconds())/float64(b.N)/float64(count), "cpu-µs/instance-change")
			b.ReportMetric(float64(quiet.Microseconds())/float64(count), "cpu-µs/instance-quiet-second")
		})
	}
}

func waitAll(tb testing.TB, observers []*observer, revision uint64) {
	tb.Helper()
	for _, o := range observers {
		if !o.wait(revision) {
			tb.Fatal("a stream broke")
		}
	}
}

func quietCPU(tb testing.TB) time.Duration {
	tb.Helper()
	before := cpu(tb)
	time.Sleep(time.Second)
	return cpu(tb) - before
}

// BenchmarkClaim gives the time and the processor time of a claim that is committed on three disks, by how many are asked for at once.
func BenchmarkClaim(b *testing.B) {
	for _, callers := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			a := startControlsFor(b)
			control := gateway.NewControlClient(a.Controls())
			claim(b, control, "first")
			before := cpu(b)
			b.ResetTimer()
			var group sync.WaitGroup
			for c := range callers {
				group.Go(func() {
					for i := c; i < b.N; i += callers {
						claim(b, control, fmt.Sprintf("key-%d", i))
					}
				})
			}
			group.Wait()
			b.ReportMetric(float64((cpu(b)-before).Microseconds())/float64(b.N), "cpu-µs/claim")
		})
	}
}

func claim(tb testing.TB, control *gateway.ControlClient, key string) {
	tb.Helper()
	_, err := gateway.CallLeader(tb.Context(), control, func(ctx context.Context, client wireconnect.ControlServiceClient) (*connect.Response[wire.ClaimResponse], error) {
		return client.Claim(ctx, connect.NewRequest(&wire.ClaimRequest{
			ClaimId:    "claim-" + key,
			Service:    "restores",
			Key:        key,
			BodyDigest: "digest",
			KeyTimeMs:  time.Now().UnixMilli(),
		}))
	})
	if err != nil {
		tb.Error(err)
	}
}
