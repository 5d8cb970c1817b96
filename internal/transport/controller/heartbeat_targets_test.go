package controller

import (
	"fmt"
	"testing"

	"pimentogate.example/pimentogate/internal/state/journaler"
	"pimentogate.example/pimentogate/pkg/wire"
)

// TestHeartbeatsStayInZone checks that replicas are spread over the voters of their availability zone, and that a zone without one names none.
func TestHeartbeatsStayInZone(t *testing.T) {
	members := journaler.Members{
		newMember("a1", "a", false),
		newMember("a2", "a", false),
		newMember("b1", "b", false),
		newMember("c1", "c", true),
	}
	counts := map[string]int{}
	for i := range 100 {
		counts[chooseInZone(members, "a", fmt.Sprintf("replica-%d", i)).GetId()]++
	}
	if counts["a1"] < 30 || counts["a2"] < 30 || counts["a1"]+counts["a2"] != 100 {
		t.Errorf("replicas of one zone chose %v", counts)
	}
	for _, zone := range []string{"c", "d", ""} {
		if got := chooseInZone(members, zone, "replica"); got != nil {
			t.Errorf("zone %q: got %s", zone, got.GetId())
		}
	}
}

func newMember(id, zone string, learner bool) *wire.ControlMember {
	return &wire.ControlMember{
		Id:      id,
		Address: id + ":1",
		Zone:    zone,
		Learner: learner,
	}
}
