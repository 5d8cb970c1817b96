package tracker

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
)

// BenchmarkExchange is what one call costs the membership: the gossip sent, its size, and a peer's gossip taken.
func BenchmarkExchange(b *testing.B) {
	for _, members := range []int{8, 100, 1_000, 3_700} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			tr := newTracker(true)
			for i := range members {
				m := said(1, 1, false)
				m.Instance = fmt.Sprintf("entry-%d", i)
				tr.Hear(start, m)
			}
			bytes := 0
			for i := 0; b.Loop(); i++ {
				gossip := tr.Gossip(64)
				tr.Targets(8)
				bytes = 0
				for _, m := range gossip {
					bytes += proto.Size(m)
					m.Sequence = uint64(i + 2)
					tr.Hear(start, m)
				}
			}
			b.ReportMetric(float64(bytes), "bytes/call")
		})
	}
}
