package claimer_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/internal/state/claimer"
	"pimentogate.example/pimentogate/pkg/wire"
)

var sizes = []int{1_000, 10_000, 100_000}

func fill(count int) *claimer.Ledger {
	now := time.UnixMilli(1_800_000_000_000)
	l := claimer.New()
	l.Advance(now.UnixMilli())
	for i := range count {
		l.Claim(&wire.ClaimRequest{
			ClaimId:    fmt.Sprintf("entry-%04d-%08d", i%3700, i),
			Service:    "restores",
			Key:        fmt.Sprintf("restore-%024d", i),
			Tenant:     fmt.Sprintf("tenant-%05d", i%5000),
			RequestId:  fmt.Sprintf("request-%024d", i),
			BodyDigest: fmt.Sprintf("%064d", i),
			KeyTimeMs:  now.UnixMilli(),
		})
	}
	return l
}

// BenchmarkLedger gives a claim's memory, its share of a snapshot, and what moving the clock costs.
func BenchmarkLedger(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("claims=%d", size), func(b *testing.B) {
			before := heap()
			l := fill(size)
			used := heap() - before
			encoded := 0
			for _, state := range l.Claims() {
				encoded += proto.Size(state)
			}
			for b.Loop() {
				l.Advance(l.NowMs() + 1)
			}
			b.ReportMetric(float64(used)/float64(size), "heap-B/claim")
			b.ReportMetric(float64(encoded)/float64(size), "snapshot-B/claim")
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
