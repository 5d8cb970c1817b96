package forwarder

import (
	"testing"
	"time"

	"pimentogate.example/pimentogate/pkg/wire"
)

// TestRelayTellsConditions checks that the origin learns from the messages of a relay which replica rejects requests, although it has sent it none itself, and that it copes with conditions that are absurd or name no replica it knows.
func TestRelayTellsConditions(t *testing.T) {
	const id = "shard-0-1"
	rf := newRelayFixture(t)
	rf.disableRepeats()
	r, _ := rf.far.findReplica(id)
	rf.far.mutex.Lock()
	for range 5 {
		rf.far.balancer.RecordRejection(time.Now(), r)
	}
	rf.far.mutex.Unlock()
	rf.near.mutex.Lock()
	rf.near.mergeConditions(time.Now(), []*wire.ReplicaCondition{{
		Replica:          1,
		RejectedPermille: 1 << 31,
		LostPermille:     1 << 31,
		WorkLeftUs:       1 << 31,
		AgeMs:            1 << 31,
	}})
	rf.near.mutex.Unlock()
	rf.requireCompleteAnswer(t)
	rf.near.mutex.Lock()
	defer rf.near.mutex.Unlock()
	if got := rf.near.balancer.Explain(time.Now(), rf.near.balancer.Find(id), time.Millisecond).Failures.Rejected; got < 0.5 {
		t.Errorf("the origin expects rejections of %.2f", got)
	}
}
