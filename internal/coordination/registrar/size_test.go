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

// fleetShards is how many shards each query touches at the size the page is worked out for.
const fleetShards = 270

func shardNames() []string {
	var names []string
	for i := range fleetShards {
		names = append(names, fmt.Sprintf("shard-%03d", i))
	}
	return names
}

// announcementOf is what one replica announces: the whole manifest, and the one shard it holds.
func announcementOf(i int, sequence uint64) *wire.Announcement {
	manifest := &wire.Manifest{
		Service: "tenants",
		Version: 1,
	}
	for _, name := range shardNames() {
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

func filled(tb testing.TB, size int) *registrar.Registrar {
	tb.Helper()
	r := registrar.New()
	r.Configure(&wire.Config{
		Revision: 1,
		Services: []*wire.Service{{
			Name:   "tenants",
			Shards: shardNames(),
		}},
	})
	for i := range size {
		if _, err := r.Announce(time.UnixMilli(1000), announcementOf(i, 1)); err != nil {
			tb.Fatal(err)
		}
	}
	return r
}

// BenchmarkRenew gives what one lease's renewal costs an entry instance, and what a replica takes there.
func BenchmarkRenew(b *testing.B) {
	for _, size := range []int{270, 1080, 2300} {
		b.Run(fmt.Sprintf("replicas=%d", size), func(b *testing.B) {
			before := heap()
			r := filled(b, size)
			used := heap() - before
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

// BenchmarkJoin gives what it costs when a replica goes and comes back.
func BenchmarkJoin(b *testing.B) {
	for _, size := range []int{270, 1080, 2300} {
		b.Run(fmt.Sprintf("replicas=%d", size), func(b *testing.B) {
			r := filled(b, size)
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

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkPassOn gives how many bytes a renewal takes when peers are told of it, and how many fit a batch.
func BenchmarkPassOn(b *testing.B) {
	const batch = 256
	for _, size := range []int{270, 1080, 2300} {
		b.Run(fmt.Sprintf("replicas=%d", size), func(b *testing.B) {
			r := filled(b, size)
			r.SetReach(size)
			now := time.UnixMilli(1000)
			r.Batch(now, size)
			sequence := uint64(2)
			bytes, told := 0, 0
			for b.Loop() {
				for i := range batch {
					if _, err := r.Announce(now, announcementOf(i, sequence)); err != nil {
						b.Fatal(err)
					}
				}
				sequence++
				_, renewals := r.Batch(now, batch)
				for _, renewal := range renewals {
					bytes += proto.Size(renewal)
					told++
				}
			}
			b.ReportMetric(float64(bytes)/float64(max(told, 1)), "wire-B/renewal")
			b.ReportMetric(float64(told)/float64(b.N), "renewals/batch")
		})
	}
}
