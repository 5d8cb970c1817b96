package recorder

import (
	"testing"

	"pimentogate.example/pimentogate/pkg/wire"
)

func TestRingDropsAndCountsWhenFull(t *testing.T) {
	r := New("entry-1", 7, 3)
	var kept []bool
	for range 5 {
		kept = append(kept, r.Add(&wire.OutcomeRecord{}))
	}
	if !kept[2] || kept[3] || kept[4] {
		t.Errorf("kept %v, want three and then none", kept)
	}
	batch := r.Batch(2)
	if len(batch.GetRecords()) != 2 || batch.GetRecords()[1].GetSequence() != 2 {
		t.Errorf("batch %v", batch)
	}
	r.Stored(3)
	if r.Batch(2) != nil {
		t.Errorf("%d records left after all are stored", r.Len())
	}
	r.Add(&wire.OutcomeRecord{})
	// The two dropped ones have used up 4 and 5.
	if sequence := r.Batch(2).GetRecords()[0].GetSequence(); sequence != 6 {
		t.Errorf("sequence %d, want 6", sequence)
	}
}

func recordsOf(instance string, incarnation uint64, sequences ...uint64) []*wire.OutcomeRecord {
	var records []*wire.OutcomeRecord
	for _, sequence := range sequences {
		records = append(records, &wire.OutcomeRecord{
			Instance:    instance,
			Incarnation: incarnation,
			Sequence:    sequence,
		})
	}
	return records
}

func TestIntakeCountsMissingOnce(t *testing.T) {
	cases := []struct {
		name    string
		batches [][]*wire.OutcomeRecord
		fresh   int
		missing uint64
	}{
		{"in order", [][]*wire.OutcomeRecord{recordsOf("a", 1, 1, 2), recordsOf("a", 1, 3)}, 3, 0},
		{"a batch twice", [][]*wire.OutcomeRecord{recordsOf("a", 1, 1, 2), recordsOf("a", 1, 1, 2, 3)}, 3, 0},
		{"out of order", [][]*wire.OutcomeRecord{recordsOf("a", 1, 3, 4), recordsOf("a", 1, 1, 2)}, 4, 0},
		{"dropped in the middle", [][]*wire.OutcomeRecord{recordsOf("a", 1, 1, 2, 6)}, 3, 3},
		{"a gap filled later", [][]*wire.OutcomeRecord{recordsOf("a", 1, 1, 4), recordsOf("a", 1, 2, 3)}, 4, 0},
		{"two lives of one instance", [][]*wire.OutcomeRecord{recordsOf("a", 1, 1, 2), recordsOf("a", 2, 1, 2)}, 4, 0},
		{"two instances", [][]*wire.OutcomeRecord{recordsOf("a", 1, 1, 3), recordsOf("b", 1, 1, 4)}, 4, 3},
		{"the oldest are gone", [][]*wire.OutcomeRecord{recordsOf("a", 1, 100, 101)}, 2, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i := NewIntake()
			fresh := 0
			for _, batch := range c.batches {
				found := i.New(batch)
				fresh += len(found)
				i.Take(found)
			}
			if fresh != c.fresh || i.Missing() != c.missing {
				t.Errorf("%d new and %d missing, want %d and %d", fresh, i.Missing(), c.fresh, c.missing)
			}
		})
	}
}

func TestSummaryCountsByGroup(t *testing.T) {
	records := []*wire.OutcomeRecord{
		{Tenant: "bakery", Service: "s", Outcome: "answered", Version: 1, CoverageMillionths: wire.CoverageWhole, LatencyUs: 1000},
		{Tenant: "bakery", Service: "s", Outcome: "answered", Version: 1, CoverageMillionths: wire.CoverageWhole / 2, LatencyUs: 3000},
		{Tenant: "bakery", Service: "s", Outcome: "not-run", Reason: "deadline", LatencyUs: 10},
	}
	lines := Summarize(records)
	if len(lines) != 2 || lines[0].Count != 2 || lines[0].LeastCovered != 0.5 || lines[0].MeanCovered != 0.75 || lines[0].P99Us < 2990 || lines[1].Reason != "deadline" {
		t.Errorf("%+v", lines)
	}
}
