package tracker

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
)

// BenchmarkExchange measures the membership work of one call: the gossip sent, its size and the merge of a
// peer's gossip.
func BenchmarkExchange(b *testing.B) {
	for _, members := range []int{8, 100, 1_000, 3_700} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			tr := newTracker(true)
			for i := range members {
				m := otherMember(1, 1, false)
				m.Instance = fmt.Sprintf("entry-%d", i)
				tr.Merge(start, m)
			}
			gossipBytes := 0
			for i := 0; b.Loop(); i++ {
				gossip := tr.Gossip(64)
				tr.Targets(8)
				gossipBytes = 0
				for _, m := range gossip {
					gossipBytes += proto.Size(m)
					m.Sequence = uint64(i + 2)
					tr.Merge(start, m)
				}
			}
			b.ReportMetric(float64(gossipBytes), "bytes/call")
		})
	}
}
