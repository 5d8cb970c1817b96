package registrar_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/internal/coordination/registrar"
	"pimentogate.example/pimentogate/pkg/wire"
)

// fleetShards is the number of shards per query in the fleet size that the documentation is calculated for.
const fleetShards = 270

func tenantShards() []string {
	var names []string
	for i := range fleetShards {
		names = append(names, fmt.Sprintf("shard-%03d", i))
	}
	return names
}

// announcementOf returns the announcement of one replica: the manifest with all shards and the single shard that it holds.
func announcementOf(i int, sequence uint64) *wire.Announcement {
	manifest := &wire.Manifest{
		Service: "tenants",
		Version: 1,
	}
	for _, name := range tenantShards() {
		manifest.Shards = append(manifest.Shards, &wire.ShardWeight{
			Shard:  name,
			Weight: 1,
		})
	}
	return &wire.Announcement{
		Upstream:    fmt.Sprintf("replica-%05d", i),
		Address:     fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
		Zone:        "zone-1",
		Incarnation: 1,
		Sequence:    sequence,
		Slots:       2,
		Connections: 25,
		LeaseMs:     60_000,
		Manifests:   []*wire.Manifest{manifest},
		Holdings: []*wire.Holding{{
			Service: "tenants",
			Version: 1,
			Shard:   fmt.Sprintf("shard-%03d", i%fleetShards),
		}},
	}
}

func newRegistrar(tb testing.TB, size int) *registrar.Registrar {
	tb.Helper()
	r := registrar.New()
	r.Configure(&wire.Config{
		Revision: 1,
		Services: []*wire.Service{{
			Name:   "tenants",
			Shards: tenantShards(),
		}},
	})
	for i := range size {
		if _, err := r.Announce(time.UnixMilli(1000), announcementOf(i, 1)); err != nil {
			tb.Fatal(err)
		}
	}
	return r
}

// BenchmarkRenew measures the cost of renewing one lease on an entry instance, and the heap use per replica.
func BenchmarkRenew(b *testing.B) {
	for _, size := range []int{270, 1080, 2300} {
		b.Run(fmt.Sprintf("replicas=%d", size), func(b *testing.B) {
			heapBefore := heapBytes()
			r := newRegistrar(b, size)
			used := heapBytes() - heapBefore
			renewals := make([]*wire.Announcement, 1000)
			for i := range renewals {
				renewals[i] = announcementOf(i%size, uint64(i+2))
			}
			for i := 0; b.Loop(); i++ {
				ann := renewals[i%len(renewals)]
				ann.Sequence = uint64(i + 2)
				if _, err := r.Announce(time.UnixMilli(1000), ann); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(used)/float64(size), "heap-B/replica")
			b.ReportMetric(float64(proto.Size(renewals[0])), "wire-B/renewal")
		})
	}
}

// BenchmarkJoin measures the cost of a replica that leaves and rejoins.
func BenchmarkJoin(b *testing.B) {
	for _, size := range []int{270, 1080, 2300} {
		b.Run(fmt.Sprintf("replicas=%d", size), func(b *testing.B) {
			r := newRegistrar(b, size)
			for i := 0; b.Loop(); i++ {
				ann := announcementOf(0, uint64(i+2))
				ann.Leaving = i%2 == 0
				ann.Incarnation = uint64(i/2 + 2)
				if _, err := r.Announce(time.UnixMilli(1000), ann); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkRelayRenewals measures the bytes per renewal sent to peers and the renewals per batch.
func BenchmarkRelayRenewals(b *testing.B) {
	const batch = 256
	for _, size := range []int{270, 1080, 2300} {
		b.Run(fmt.Sprintf("replicas=%d", size), func(b *testing.B) {
			r := newRegistrar(b, size)
			r.SetPeerCount(size)
			now := time.UnixMilli(1000)
			r.DequeueUpdates(now, size)
			sequence := uint64(2)
			bytes, sent := 0, 0
			for b.Loop() {
				for i := range batch {
					if _, err := r.Announce(now, announcementOf(i, sequence)); err != nil {
						b.Fatal(err)
					}
				}
				sequence++
				_, renewals := r.DequeueUpdates(now, batch)
				for _, renewal := range renewals {
					bytes += proto.Size(renewal)
					sent++
				}
			}
			b.ReportMetric(float64(bytes)/float64(max(sent, 1)), "wire-B/renewal")
			b.ReportMetric(float64(sent)/float64(b.N), "renewals/batch")
		})
	}
}
