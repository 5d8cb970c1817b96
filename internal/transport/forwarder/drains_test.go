package forwarder

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/pkg/wire"
)

func drainsAt(revision uint64, zones ...string) *wire.ZoneDrains {
	return &wire.ZoneDrains{
		Revision: revision,
		Zones:    zones,
	}
}

// TestDrainsKeepNewest guards against a control instance that is behind, or of an older build, ending a drain.
func TestDrainsKeepNewest(t *testing.T) {
	f := newTestForwarder(t, "near", "a")
	cases := []struct {
		name string
		list *wire.ZoneDrains
		want []string
	}{
		{"first", drainsAt(3, "a"), []string{"a"}},
		{"older build", nil, []string{"a"}},
		{"behind", drainsAt(2), []string{"a"}},
		{"same revision", drainsAt(3), []string{"a"}},
		{"second zone", drainsAt(5, "a", "b"), []string{"a", "b"}},
		{"end of one", drainsAt(6, "b"), []string{"b"}},
	}
	for _, c := range cases {
		f.directory.apply(&wire.FollowResponse{
			Drains: c.list,
		})
		if got := f.drains.current(); !slices.Equal(got, c.want) {
			t.Errorf("%s: drained zones %q, want %q", c.name, got, c.want)
		}
	}
}

// TestDrainedZoneIsNotReached guards against requests and connections to replicas of a drained zone: from the instance itself, through a peer that knows of the drain before the sender does, and by preconnects.
func TestDrainedZoneIsNotReached(t *testing.T) {
	cases := []struct {
		name   string
		drain  func(rf *relayFixture)
		reason scatterer.Reason
	}{
		{"known to the peer only", func(rf *relayFixture) { rf.far.drains.apply(drainsAt(1, "b")) }, scatterer.ReasonZoneDrained},
		{"known to both", func(rf *relayFixture) {
			rf.far.drains.apply(drainsAt(1, "b"))
			rf.near.drains.apply(drainsAt(1, "b"))
		}, scatterer.ReasonZoneDrained},
	}
	for _, c := range cases {
		rf := newRelayFixture(t)
		c.drain(rf)
		// A replica that is announced during the drain, and one that was queued for a connection before.
		rf.addReplica(t, "another", "another-late")
		_, queued := rf.far.findReplica("shard-0-0")
		rf.far.preconnector.connectReplica(queued)
		d := rf.serve(t)
		if d.Kind != scatterer.Refused || d.Reason != c.reason || d.RetryAfter <= 0 {
			t.Errorf("%s: decision %+v, want refused with reason %q", c.name, d, c.reason)
		}
		time.Sleep(2 * refreshDelay)
		if got := rf.far.exchanger.OpenConnections(); got > 0 || rf.replicaRequests.Load() > 0 {
			t.Errorf("%s: %d connections, %d requests to the drained zone", c.name, got, rf.replicaRequests.Load())
		}
	}
}

// TestDrainEnds checks that replicas are used again after the end of a drain.
func TestDrainEnds(t *testing.T) {
	rf := newRelayFixture(t)
	for _, f := range []*Forwarder{rf.near, rf.far} {
		f.drains.apply(drainsAt(1, "b"))
		f.drains.apply(drainsAt(2))
	}
	rf.requireCompleteAnswer(t)
}

// TestDivertedRequestAvoidsDrainedZone guards against a peer that sends a diverted request to replicas of a drained zone.
func TestDivertedRequestAvoidsDrainedZone(t *testing.T) {
	sf := newStrandedFixture(t)
	sf.isolateReceiver(t)
	sf.runs.Clear()
	for i, f := range sf.instances {
		if i != sf.receiver {
			f.drains.apply(drainsAt(1, "a"))
		}
	}
	if d := sf.send(t.Context(), routeAll).Decision; d.Kind != scatterer.Refused || d.Reason != scatterer.ReasonZoneDrained {
		t.Errorf("decision %+v, want refused because of the drain", d)
	}
	sf.runs.Range(func(request, _ any) bool {
		t.Errorf("%s ran in the drained zone", request)
		return true
	})
}

// TestProbesAvoidDrainedZone guards against health checks of replicas in a drained zone, and against an instance that counts as isolated because all zones are drained.
func TestProbesAvoidDrainedZone(t *testing.T) {
	var probes atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { probes.Add(1) }))
	defer server.Close()
	f := newTestForwarder(t, "near", "a")
	f.putReplica(balancer.Replica{
		ID:      "r1",
		Service: "one",
		Address: server.Listener.Addr().String(),
		Zone:    "b",
	})
	if !f.isolation.probe() || probes.Load() != 1 {
		t.Fatalf("%d health checks before the drain, want 1", probes.Load())
	}
	f.drains.apply(drainsAt(1, "b"))
	if !f.isolation.probe() || probes.Load() != 1 {
		t.Errorf("%d health checks after the drain, want 1; isolated", probes.Load())
	}
}
