package applier

import (
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/internal/state/cataloger"
	"pimentogate.example/pimentogate/pkg/wire"
)

// TestDrainZone checks that drains and their ends apply once each, that only a change raises the revision, and that a snapshot holds the drained zones.
func TestDrainZone(t *testing.T) {
	steps := []struct {
		zone     string
		drained  bool
		revision uint64
		zones    []string
	}{
		{"b", true, 1, []string{"b"}},
		{"b", true, 1, []string{"b"}},
		{"a", false, 1, []string{"b"}},
		{"a", true, 2, []string{"a", "b"}},
		{"", true, 2, []string{"a", "b"}},
		{"b", false, 3, []string{"a"}},
		{"b", false, 3, []string{"a"}},
	}
	a := New()
	for i, step := range steps {
		payload, err := proto.Marshal(&wire.Command{
			Change: &wire.Command_DrainZone{
				DrainZone: &wire.DrainZoneRequest{
					Zone:    step.zone,
					Drained: step.drained,
				},
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		result, err := a.Apply(&wire.JournalEntry{
			Index:   uint64(i + 1),
			Payload: payload,
		})
		if err != nil {
			t.Fatal(err)
		}
		snapshot, err := a.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored := New()
		if err := restored.Restore(snapshot); err != nil {
			t.Fatal(err)
		}
		drains := restored.Catalog.ZoneDrains()
		if result.Drain.GetRevision() != step.revision || drains.GetRevision() != step.revision || !slices.Equal(drains.GetZones(), step.zones) {
			t.Errorf("step %d: revision %d, %v after a restore; want revision %d, %v", i, result.Drain.GetRevision(), drains, step.revision, step.zones)
		}
		if cataloger.IsZoneDrained(restored.Catalog.Config(), "a") != slices.Contains(step.zones, "a") {
			t.Errorf("step %d: zone a is drained for one reader only", i)
		}
	}
}
