package router

import (
	"fmt"
	"testing"

	"pimentogate.example/pimentogate/internal/coordination/registrar"
)

func instances(count int) []Instance {
	var list []Instance
	for i := range count {
		list = append(list, Instance{
			Name: fmt.Sprintf("entry-%d", i),
		})
	}
	return list
}

func newOwners(all []Instance, self int) *Owners {
	o := NewOwners(all[self])
	var others []Instance
	for i, other := range all {
		if i != self {
			others = append(others, other)
		}
	}
	o.Update(others)
	return o
}

func TestOwners(t *testing.T) {
	all := instances(8)
	views := []*Owners{newOwners(all, 0), newOwners(all, 5)}
	withoutLast := newOwners(all[:7], 0)
	counts := map[string]int{}
	for i := range 1000 {
		replica := &registrar.Replica{
			Zone:  fmt.Sprintf("zone-%d", i%2),
			Group: fmt.Sprintf("tenants/shard-%d", i),
		}
		owner := views[0].OwnerOf(replica)
		counts[owner.Name]++
		if other := views[1].OwnerOf(replica); other != owner {
			t.Fatalf("owners differ between instances: %v and %v", owner, other)
		}
		otherZone := &registrar.Replica{
			Zone:  "zone-elsewhere",
			Group: replica.Group,
		}
		if other := views[0].OwnerOf(otherZone); other != owner {
			t.Fatalf("two owners of one group: %v and %v", owner, other)
		}
		if after := withoutLast.OwnerOf(replica); owner.Name != "entry-7" && after != owner {
			t.Fatalf("the loss of entry-7 moved a replica from %v to %v", owner, after)
		}
	}
	for name, owned := range counts {
		if owned < 80 || owned > 170 {
			t.Errorf("%s owns %d of 1,000", name, owned)
		}
	}
}
