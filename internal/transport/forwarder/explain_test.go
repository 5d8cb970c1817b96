package forwarder

import (
	"testing"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
	"pimentogate.example/pimentogate/pkg/wire"
)

// TestExplain checks what an instance tells of requests, and that telling it sends and charges nothing.
func TestExplain(t *testing.T) {
	rf := newRelayFixture(t)
	pause := func() {
		rf.far.mutex.Lock()
		defer rf.far.mutex.Unlock()
		for _, id := range []string{"shard-0-0", "shard-0-1"} {
			rf.far.balancer.RecordNotice(time.Now(), rf.far.balancer.Find(id), balancer.Notice{
				RetryAfter: time.Hour,
			})
		}
	}
	for _, c := range []struct {
		name, host, path, refusal string
		setup                     func()
	}{
		{"no route", "b.example", "/all/1", refusalNoRoute, func() {}},
		{"sent", "a.example", "/all/1?q", "", func() {}},
		{"paused", "a.example", "/all/1?q", "replicas-limited", pause},
	} {
		c.setup()
		response, err := rf.near.peers.relayClient(rf.far.peers.server.Address()).Explain(t.Context(), connect.NewRequest(&wire.ExplainRequest{
			Host: c.host,
			Path: c.path,
		}))
		if err != nil {
			t.Fatal(err)
		}
		if response.Msg.GetRefusal() != c.refusal {
			t.Errorf("%s: refusal %q, want %q", c.name, response.Msg.GetRefusal(), c.refusal)
		}
		for i, shard := range response.Msg.GetShards() {
			requireExplained(t, c.name, shard, c.refusal != "" && i == 0)
		}
		if c.refusal != refusalNoRoute && len(response.Msg.GetShards()) != relayShards {
			t.Errorf("%s: %d shards", c.name, len(response.Msg.GetShards()))
		}
	}
	if rf.replicaRequests.Load() != 0 {
		t.Error("requests were sent")
	}
}

// requireExplained checks that both replicas of a shard are shown and one is chosen, unless both are excluded.
func requireExplained(t *testing.T, name string, shard *wire.ExplainedShard, areExcluded bool) {
	t.Helper()
	chosen, excluded := 0, 0
	for _, r := range shard.GetReplicas() {
		if r.GetChosen() {
			chosen++
		}
		if r.GetExcluded() != "" {
			excluded++
		}
	}
	if len(shard.GetReplicas()) != 2 || areExcluded != (chosen == 0) || areExcluded != (excluded == 2) || shard.GetRetryBudgetLeft() != 1 {
		t.Errorf("%s: %s has %d replicas, %d chosen, %d excluded, budget %.2f", name, shard.GetService(), len(shard.GetReplicas()), chosen, excluded, shard.GetRetryBudgetLeft())
	}
}
