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

// streamsPerConnection stays below the number of concurrent streams that an HTTP/2 server accepts on one connection.
const streamsPerConnection = 100

func startControlCluster(tb testing.TB) *Cluster {
	tb.Helper()
	cluster, err := Start(tb.Context(), Config{
		Controls: 3,
		Zones:    3,
		Log:      logr.Discard(),
	})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(cluster.Close)
	return cluster
}

func setTenantLimit(tb testing.TB, control *gateway.ControlClient, revision uint64, tenant string) {
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

// watcher receives the configuration over one stream, as an entry instance does.
type watcher struct {
	stream            *connect.BidiStreamForClient[wire.WatchRequest, wire.WatchResponse]
	revisions         chan uint64
	lastResponseBytes int
}

func startWatcher(tb testing.TB, client *http.Client, address string, i int) *watcher {
	tb.Helper()
	w := &watcher{
		stream:    wireconnect.NewControlServiceClient(client, "http://"+address).Watch(tb.Context()),
		revisions: make(chan uint64, 1000),
	}
	err := w.stream.Send(&wire.WatchRequest{
		Instance: fmt.Sprintf("entry-%d", i),
	})
	if err != nil {
		tb.Fatal(err)
	}
	go w.run()
	return w
}

func (w *watcher) run() {
	defer close(w.revisions)
	for {
		response, err := w.stream.Receive()
		if err != nil {
			return
		}
		if response.GetConfig() != nil {
			w.lastResponseBytes = proto.Size(response)
			w.revisions <- response.GetRevision()
		}
	}
}

// waitForRevision waits for the revision or a later one, and reports false if the stream ended before.
func (w *watcher) waitForRevision(revision uint64) bool {
	for received := range w.revisions {
		if received >= revision {
			return true
		}
	}
	return false
}

// BenchmarkWatch reports the CPU time of a configuration change and of an idle second, per entry instance, while all entry instances watch one control instance.
func BenchmarkWatch(b *testing.B) {
	for _, count := range []int{50, 200, 800} {
		b.Run(fmt.Sprintf("instances=%d", count), func(b *testing.B) {
			cluster := startControlCluster(b)
			control := gateway.NewControlClient(cluster.ControlAddresses())
			setTenantLimit(b, control, 0, "tenant-0")
			var watchers []*watcher
			client := listener.NewClient()
			for i := range count {
				if i%streamsPerConnection == 0 {
					client = listener.NewClient()
				}
				watchers = append(watchers, startWatcher(b, client, cluster.controlMembers[0].Address, i))
			}
			waitForAll(b, watchers, 1)
			idleCPU := idleCPUTime(b)
			before := cpuTime(b)
			revision := uint64(1)
			for b.Loop() {
				setTenantLimit(b, control, revision, "tenant-0")
				revision++
				waitForAll(b, watchers, revision)
			}
			spent := cpuTime(b) - before
			b.ReportMetric(float64(spent.Microseconds())/float64(b.N)/float64(count), "cpu-µs/instance-change")
			b.ReportMetric(float64(idleCPU.Microseconds())/float64(count), "cpu-µs/instance-quiet-second")
		})
	}
}

func waitForAll(tb testing.TB, watchers []*watcher, revision uint64) {
	tb.Helper()
	for _, w := range watchers {
		if !w.waitForRevision(revision) {
			tb.Fatal("a stream ended before the revision arrived")
		}
	}
}

func idleCPUTime(tb testing.TB) time.Duration {
	tb.Helper()
	before := cpuTime(tb)
	time.Sleep(time.Second)
	return cpuTime(tb) - before
}

// BenchmarkClaim reports the elapsed and CPU time of a claim that is committed by three control instances, which sync it to disk, by the number of concurrent callers.
func BenchmarkClaim(b *testing.B) {
	for _, callers := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			cluster := startControlCluster(b)
			control := gateway.NewControlClient(cluster.ControlAddresses())
			claim(b, control, "first")
			before := cpuTime(b)
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
			b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N), "cpu-µs/claim")
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
