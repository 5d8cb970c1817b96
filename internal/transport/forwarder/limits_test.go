package forwarder

import (
	"fmt"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/matcher"
	"pimentogate.example/pimentogate/internal/transport/exchanger"
	"pimentogate.example/pimentogate/pkg/wire"
)

// TestConnectionLimit checks that an instance opens one connection per replica until it knows the number of instances, so that a large fleet that restarts at once stays within the replicas' limits. Afterwards it opens its share. The share is divided among the instances of its own zone only for services that are used by sharded routes alone.
func TestConnectionLimit(t *testing.T) {
	f := newTestForwarder(t, "near", "a")
	table, err := matcher.NewRoutingTable(1, []matcher.Route{
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
	f.routingTable.Store(table)
	expect := func(when, service string, near, far int) {
		for zone, want := range map[string]int{
			"a": near,
			"b": far,
		} {
			target := exchanger.Target{
				Service: service,
				Zone:    zone,
			}
			if got := f.connectionLimit(target); got != want {
				t.Errorf("%s: %d connections to a replica of %s in zone %s, want %d", when, got, service, zone, want)
			}
		}
	}
	expect("no count received", "shard", 1, 1)
	expect("no count received", "single", 1, 1)
	receiveInstances := func(count int) {
		var entries []*wire.EntryInstance
		for i := range count {
			entries = append(entries, &wire.EntryInstance{
				Instance: fmt.Sprintf("entry-%d", i),
				Zone:     string("ab"[i%2]),
			})
		}
		f.directory.apply(&wire.FollowResponse{
			Followers: uint32(count),
			Entries:   entries,
		})
	}
	receiveInstances(4)
	expect("4 instances", "shard", 12, 12)
	expect("4 instances", "single", 12, 12)
	receiveInstances(34)
	expect("34 instances", "shard", 3, 1)
	expect("34 instances", "single", 1, 1)
}
