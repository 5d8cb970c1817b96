package forwarder

import (
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
	"pimentogate.example/pimentogate/internal/coordination/matcher"
	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/pkg/wire"
)

// limitCold sets a limit for cold replicas so low that an instance has a permit once in minutes.
func (rf *relayFixture) limitCold(t *testing.T) {
	t.Helper()
	table := *rf.near.RoutingTable()
	var services []matcher.Service
	for _, shard := range rf.route.Shards {
		services = append(services, matcher.Service{
			Name:              shard,
			ColdRatePerSecond: 0.1,
			ColdDuration:      time.Minute,
		})
	}
	limited, err := matcher.NewRoutingTable(table.Version+1, table.Routes, services, matcher.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range []*Forwarder{rf.near, rf.far} {
		f.routingTable.Store(limited)
	}
}

// turnCold tells the instance that all replicas are cold.
func (rf *relayFixture) turnCold(f *Forwarder) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	for _, replica := range f.balancer.Replicas() {
		f.balancer.RecordNotice(now, f.balancer.Find(replica.ID), balancer.Notice{
			ColdFor: time.Minute,
		})
	}
}

// TestColdReplicasGetNoMoreThanTheirLimit guards against requests at cold replicas without a permit: from the instance itself, which says when it has one, and through a relay that knows of the state before the sender does and passes it on.
func TestColdReplicasGetNoMoreThanTheirLimit(t *testing.T) {
	rf := newRelayFixture(t)
	rf.limitCold(t)
	rf.turnCold(rf.far)
	if d := rf.serve(t); d.Kind == scatterer.Gathered || rf.replicaRequests.Load() > 0 {
		t.Errorf("decision %+v, %d requests sent by the relay", d, rf.replicaRequests.Load())
	}
	if got := rf.near.noticeOf("shard-0-0").ColdFor; got < 50*time.Second {
		t.Errorf("the sender was told that the replica is cold for %v, want a minute", got)
	}
	rf.turnCold(rf.near)
	d := rf.serve(t)
	if d.Kind != scatterer.Refused || d.Reason != scatterer.ReasonLimited || d.RetryAfter < time.Second || rf.replicaRequests.Load() > 0 {
		t.Errorf("decision %+v, %d requests sent", d, rf.replicaRequests.Load())
	}
}

// TestColdShareFollowsConfirmedLists guards against a share that grows by what a control instance without a quorum says, or at once when fewer instances are reported.
func TestColdShareFollowsConfirmedLists(t *testing.T) {
	f := newTestForwarder(t, "near", "a")
	now := time.Now()
	entries := []*wire.EntryInstance{
		{
			Instance: "far",
		},
		{
			Instance: "near",
		},
	}
	steps := []struct {
		name      string
		after     time.Duration
		followers uint32
		confirmed bool
		want      int
	}{
		{"without a quorum", 0, 3, false, assumedColdInstances},
		{"not known yet", 0, 0, true, assumedColdInstances},
		{"known", 0, 80, true, 80},
		{"fewer, as in a partition", time.Minute, 40, true, 80},
		{"more", time.Minute, 90, true, 90},
		{"fewer for long", 4 * time.Minute, 40, true, 40},
	}
	for _, step := range steps {
		f.coldShare.update(now.Add(step.after), &wire.FollowResponse{
			Followers: step.followers,
			Confirmed: step.confirmed,
			Entries:   entries,
		})
		if got := f.coldShare.instances.Update(now.Add(step.after), 0); got != step.want {
			t.Errorf("%s: shared by %d, want %d", step.name, got, step.want)
		}
	}
	if f.coldShare.phase != 0.5 {
		t.Errorf("phase %v of the second of two instances, want 0.5", f.coldShare.phase)
	}
}

// TestColdEndByControlsClock checks that the end of a warm-up is converted to the clock of this instance.
func TestColdEndByControlsClock(t *testing.T) {
	f := newTestForwarder(t, "near", "a")
	now := time.Now()
	control := now.Add(time.Hour).UnixMilli()
	f.directory.apply(&wire.FollowResponse{
		Index:  1,
		Whole:  true,
		TimeMs: control,
		Replicas: []*wire.Replica{{
			Id:          "r1",
			Service:     "s1",
			Address:     "127.0.0.1:1",
			Index:       1,
			ColdUntilMs: control + 30_000,
		}},
	})
	if got := f.noticeOf("r1").ColdFor; got < 25*time.Second || got > 31*time.Second {
		t.Errorf("cold for %v, want 30 s", got)
	}
}
