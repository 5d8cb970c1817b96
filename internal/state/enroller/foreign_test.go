package enroller

import (
	"testing"

	"pimentogate.example/pimentogate/pkg/wire"
)

// TestForeignAnnouncements guards against a check-in of another writer that takes a replica out of use, and against replicas that can't take the place of one that is gone.
func TestForeignAnnouncements(t *testing.T) {
	inUse := newAnnouncement("a", "1:1", 5, 3, ready)
	cases := []struct {
		name         string
		known        *wire.Replica
		id, address  string
		service      string
		born         int64
		state        wire.ReplicaState
		wantsForeign bool
	}{
		{"unnamed service at the address", inUse, "x", "1:1", "unnamed", 9, ready, true},
		{"unnamed service at the address, draining", inUse, "x", "1:1", "unnamed", 9, draining, true},
		{"unnamed service at the address of a draining replica", newAnnouncement("a", "1:1", 5, 3, draining), "x", "1:1", "unnamed", 9, ready, false},
		{"unnamed service at a free address", inUse, "x", "1:2", "unnamed", 9, ready, false},
		{"unnamed service at the address of a lost replica", newAnnouncement("a", "1:1", 5, 3, lost), "x", "1:1", "unnamed", 9, ready, false},
		{"unnamed service at the address of one that has left", newAnnouncement("a", "1:1", 5, 3, left), "x", "1:1", "unnamed", 9, ready, false},
		{"named service at the address", inUse, "x", "1:1", "named", 9, ready, false},
		{"unnamed service under the id", inUse, "a", "1:2", "unnamed", 9, ready, true},
		{"unnamed service under the id of a lost replica", newAnnouncement("a", "1:1", 5, 3, lost), "a", "1:2", "unnamed", 9, ready, false},
		{"named service under the id", inUse, "a", "1:2", "named", 9, ready, true},
		{"named service under the id and at the address", inUse, "a", "1:1", "named", 9, ready, true},
		{"named service under the id, without a start time", newAnnouncement("a", "1:1", 0, 3, ready), "a", "1:1", "named", 0, ready, true},
		{"named service under the id of a draining replica", newAnnouncement("a", "1:1", 5, 3, draining), "a", "1:1", "named", 9, ready, true},
		{"named service under the id of a lost replica", newAnnouncement("a", "1:1", 5, 3, lost), "a", "1:1", "named", 9, ready, false},
		{"named service under the id of one that has left", newAnnouncement("a", "1:1", 5, 3, left), "a", "1:1", "named", 9, ready, false},
		{"next incarnation", inUse, "a", "1:1", "shard-1", 9, ready, false},
		{"next incarnation at another address", inUse, "a", "1:2", "shard-1", 9, ready, false},
		{"same incarnation", inUse, "a", "1:1", "shard-1", 5, draining, false},
		{"same incarnation in another service", inUse, "a", "1:1", "named", 5, draining, true},
		{"same incarnation at another address", inUse, "a", "1:2", "shard-1", 5, ready, true},
		{"departure", inUse, "a", "", "", 5, left, false},
	}
	for _, c := range cases {
		e := New(nil)
		e.Enroll(c.known, 1)
		announcement := newAnnouncement(c.id, c.address, c.born, 4, c.state)
		announcement.Service = c.service
		isNamed := func(service string) bool { return service != "unnamed" && service != "shard-1" }
		if got := e.IsForeign(announcement, isNamed); got != c.wantsForeign {
			t.Errorf("%s: foreign %t, want %t", c.name, got, c.wantsForeign)
		}
	}
}
