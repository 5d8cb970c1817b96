package exchanger

import (
	"sync/atomic"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/scatterer"
)

// TestQueuedAttemptIsNotSentAfterDrain guards against an attempt that waits for a connection in use and is sent although its replica's zone was drained meanwhile. The attempt in flight completes.
func TestQueuedAttemptIsNotSentAfterDrain(t *testing.T) {
	f := newFakeReplica(t, "slow "+okResponse("1", "one"), okResponse("2", "two"))
	var refuses atomic.Bool
	e := New(testCodec{}, func(Target) int { return 1 }, func(Target) bool { return !refuses.Load() }, func() {})
	first := make(chan scatterer.Outcome, 1)
	go func() { first <- f.do(e, "1", 0, false, 2*time.Second) }()
	time.Sleep(50 * time.Millisecond)
	second := make(chan scatterer.Outcome, 1)
	go func() { second <- f.do(e, "2", 0, false, 2*time.Second) }()
	time.Sleep(50 * time.Millisecond)
	refuses.Store(true)
	if got := <-first; got.Kind != scatterer.OutcomeReplied {
		t.Errorf("the attempt in flight is %v: %s", got.Kind, got.Cause)
	}
	if got := <-second; got.Kind != scatterer.OutcomeUnsent || got.Cause != scatterer.CauseNotAccepting || len(f.requests) != 1 {
		t.Errorf("the queued attempt is %v: %s, %d requests sent; want it unsent", got.Kind, got.Cause, len(f.requests))
	}
}
