package gateway

import (
	"io"
	"testing"

	"github.com/uber-go/tally/v4"

	"pimentogate.example/pimentogate/internal/coordination/gatherer"
	"pimentogate.example/pimentogate/internal/transport/logger"
	"pimentogate.example/pimentogate/pkg/wire"
)

func newSend() *gatherer.Send {
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

// BenchmarkDecisionEnqueue measures the cost of logging a decision in the event loop.
func BenchmarkDecisionEnqueue(b *testing.B) {
	l := newDecisionLog(logger.New(io.Discard, "info"), tally.NoopScope.Counter("lost"))
	go l.run()
	defer l.close()
	send := newSend()
	for b.Loop() {
		l.enqueue(decision{
			send: send,
		})
	}
}

// BenchmarkDecisionWrite measures the cost of logging a decision in the background goroutine.
func BenchmarkDecisionWrite(b *testing.B) {
	l := newDecisionLog(logger.New(io.Discard, "info"), tally.NoopScope.Counter("lost"))
	send := newSend()
	for b.Loop() {
		l.write(decision{
			send: send,
		})
	}
}

func TestDecisionLogNeverBlocks(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	l := newDecisionLog(logger.New(io.Discard, "info"), scope.Counter("lost"))
	for range decisionQueueSize + 3 {
		l.enqueue(decision{
			send: newSend(),
		})
	}
	go l.run()
	l.close()
	if dropped := scope.Snapshot().Counters()["lost+"].Value(); dropped != 3 || len(l.queue) != 0 {
		t.Errorf("%d lines counted as dropped, want 3; %d queued lines not written", dropped, len(l.queue))
	}
}
