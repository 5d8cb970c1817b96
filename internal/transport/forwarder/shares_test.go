package forwarder

import (
	"fmt"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/matcher"
	"pimentogate.example/pimentogate/internal/transport/exchanger"
	"pimentogate.example/pimentogate/pkg/wire"
)

// TestConnectionShares holds how many connections an instance may have to a replica: one while it has not heard how many there are, so that a large fleet that restarts together stays within the replicas' limits, then its part; the part of its availability zone alone only where all other instances have their attempts carried.
func TestConnectionShares(t *testing.T) {
	f := newEntry(t, "near", "a")
	book, err := matcher.NewRoutingTable(1, []matcher.Route{
		{
			Prefix:  "/all/",
			Timeout: time.Second,
			Shards:  []string{"shard"},
		},
		{
			Prefix:  "/one/",
			Timeout: time.Second,
			Service: "single",
		},
	}, []matcher.Service{
		{
			Name:           "shard",
			MaxConnections: 60,
		},
		{
			Name:           "single",
			MaxConnections: 60,
		},
	}, matcher.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	f.book.Store(book)
	expect := func(when, service string, near, far int) {
		for zone, want := range map[string]int{
			"a": near,
			"b": far,
		} {
			target := exchanger.Target{
				Service: service,
				Zone:    zone,
			}
			if got := f.connectionShare(target); got != want {
				t.Errorf("%s: %d connections to a replica of %s in zone %s, want %d", when, got, service, zone, want)
			}
		}
	}
	expect("nothing heard", "shard", 1, 1)
	expect("nothing heard", "single", 1, 1)
	hear := func(count int) {
		var entries []*wire.EntryInstance
		for i := range count {
			entries = append(entries, &wire.EntryInstance{
				Instance: fmt.Sprintf("entry-%d", i),
				Zone:     string("ab"[i%2]),
			})
		}
		f.directory.take(&wire.FollowResponse{
			Followers: uint32(count),
			Entries:   entries,
		})
	}
	hear(4)
	expect("4 instances", "shard", 12, 12)
	expect("4 instances", "single", 12, 12)
	hear(34)
	expect("34 instances", "shard", 3, 1)
	expect("34 instances", "single", 1, 1)
}
