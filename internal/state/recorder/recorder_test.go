package recorder

import (
	"testing"

	"pimentogate.example/pimentogate/pkg/wire"
)

func TestQueueDropsAndCountsWhenFull(t *testing.T) {
	q := NewQueue("entry-1", 7, 3)
	var added []bool
	for range 5 {
		added = append(added, q.Add(&wire.OutcomeRecord{}))
	}
	if !added[2] || added[3] || added[4] {
		t.Errorf("added %v, want the first 3 records only", added)
	}
	batch := q.Batch(2)
	if len(batch.GetRecords()) != 2 || batch.GetRecords()[1].GetSequence() != 2 {
		t.Errorf("batch %v, want 2 records with sequence numbers 1 and 2", batch)
	}
	q.RemoveStored(3)
	if q.Batch(2) != nil {
		t.Errorf("%d records queued after all are stored", q.Len())
	}
	q.Add(&wire.OutcomeRecord{})
	// The two dropped records have used up the sequence numbers 4 and 5.
	if sequence := q.Batch(2).GetRecords()[0].GetSequence(); sequence != 6 {
		t.Errorf("got sequence %d, want 6", sequence)
	}
}

func newRecords(instance string, incarnation uint64, sequences ...uint64) []*wire.OutcomeRecord {
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

func TestSequenceSetCountsMissingOnce(t *testing.T) {
	cases := []struct {
		name    string
		batches [][]*wire.OutcomeRecord
		fresh   int
		missing uint64
	}{
		{"in order", [][]*wire.OutcomeRecord{newRecords("a", 1, 1, 2), newRecords("a", 1, 3)}, 3, 0},
		{"overlapping batches", [][]*wire.OutcomeRecord{newRecords("a", 1, 1, 2), newRecords("a", 1, 1, 2, 3)}, 3, 0},
		{"out of order", [][]*wire.OutcomeRecord{newRecords("a", 1, 3, 4), newRecords("a", 1, 1, 2)}, 4, 0},
		{"gap", [][]*wire.OutcomeRecord{newRecords("a", 1, 1, 2, 6)}, 3, 3},
		{"gap filled later", [][]*wire.OutcomeRecord{newRecords("a", 1, 1, 4), newRecords("a", 1, 2, 3)}, 4, 0},
		{"two incarnations of one instance", [][]*wire.OutcomeRecord{newRecords("a", 1, 1, 2), newRecords("a", 2, 1, 2)}, 4, 0},
		{"two instances", [][]*wire.OutcomeRecord{newRecords("a", 1, 1, 3), newRecords("b", 1, 1, 4)}, 4, 3},
		{"sequence does not start at 1", [][]*wire.OutcomeRecord{newRecords("a", 1, 100, 101)}, 2, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			set := NewSequenceSet()
			fresh := 0
			for _, batch := range c.batches {
				unseen := set.FilterNew(batch)
				fresh += len(unseen)
				set.Add(unseen)
			}
			if fresh != c.fresh || set.CountMissing() != c.missing {
				t.Errorf("got %d new and %d missing, want %d and %d", fresh, set.CountMissing(), c.fresh, c.missing)
			}
		})
	}
}

func TestSummaryCountsByGroup(t *testing.T) {
	records := []*wire.OutcomeRecord{
		{Tenant: "bakery", Service: "s", Outcome: "answered", Version: 1, CoverageMillionths: wire.FullCoverage, LatencyUs: 1000},
		{Tenant: "bakery", Service: "s", Outcome: "answered", Version: 1, CoverageMillionths: wire.FullCoverage / 2, LatencyUs: 3000},
		{Tenant: "bakery", Service: "s", Outcome: "not-run", Reason: "deadline", LatencyUs: 10},
	}
	stats := Summarize(records)
	if len(stats) != 2 || stats[0].Count != 2 || stats[0].MinCoverage != 0.5 || stats[0].MeanCoverage != 0.75 || stats[0].P99Us < 2990 || stats[1].Reason != "deadline" {
		t.Errorf("got %+v", stats)
	}
}
