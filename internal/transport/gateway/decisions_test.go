package gateway

import (
	"io"
	"testing"

	"github.com/uber-go/tally/v4"

	"pimentogate.example/pimentogate/internal/coordination/gatherer"
	"pimentogate.example/pimentogate/internal/transport/logger"
	"pimentogate.example/pimentogate/pkg/wire"
)

func someSend() *gatherer.Send {
	return &gatherer.Send{
		RequestID: "4f0d0e6a-8d0b-4c8e-9b57-2b8b2f1f8f11",
		Upstream:  "shard-17-replica-1",
		Request: &wire.SearchRequest{
			Attempt: 1 << 60,
			Service: "tenants",
			Shard:   "shard-17",
			Version: 3,
		},
		Kind: gatherer.AttemptFirst,
	}
}

// BenchmarkDecisionNote is what a decision's line costs the loop.
func BenchmarkDecisionNote(b *testing.B) {
	l := newDecisionLog(logger.New(io.Discard, "info"), tally.NoopScope.Counter("lost"))
	go l.run()
	defer l.close()
	send := someSend()
	for b.Loop() {
		l.note(decision{
			send: send,
		})
	}
}

// BenchmarkDecisionWrite is what a decision's line costs its writer.
func BenchmarkDecisionWrite(b *testing.B) {
	l := newDecisionLog(logger.New(io.Discard, "info"), tally.NoopScope.Counter("lost"))
	send := someSend()
	for b.Loop() {
		l.write(decision{
			send: send,
		})
	}
}

func TestDecisionLogNeverBlocks(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	l := newDecisionLog(logger.New(io.Discard, "info"), scope.Counter("lost"))
	for range decisionRing + 3 {
		l.note(decision{
			send: someSend(),
		})
	}
	go l.run()
	l.close()
	if lost := scope.Snapshot().Counters()["lost+"].Value(); lost != 3 || len(l.ring) != 0 {
		t.Errorf("%d lines counted as lost, want 3; %d not written", lost, len(l.ring))
	}
}
