package forwarder

import (
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
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
	if got := rf.near.balancer.Explain(time.Now(), rf.near.balancer.Find(id), time.Millisecond).Rejected; got < 0.5 {
		t.Errorf("the origin expects rejections of %.2f", got)
	}
}

// TestNoticeKeepsLoad checks that the load that a replica reports reaches the origin through a relay, and that a peer of the previous release, which sends none, reports none.
func TestNoticeKeepsLoad(t *testing.T) {
	for _, load := range []balancer.ReplicaLoad{{}, {
		IsStated:    true,
		Running:     1,
		Waiting:     2,
		Slots:       3,
		WorkPercent: 150,
	}} {
		notice := noticeFromWire(noticeToWire(&balancer.Notice{
			Load: load,
		}))
		if notice.Load != load {
			t.Errorf("%+v became %+v", load, notice.Load)
		}
	}
}
