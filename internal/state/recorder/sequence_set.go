package recorder

import (
	"cmp"
	"slices"

	"pimentogate.example/pimentogate/pkg/wire"
)

// incarnationKey identifies one incarnation of an entry instance.
type incarnationKey struct {
	instance    string
	incarnation uint64
}

// SequenceSet is the set of record sequence numbers held of each incarnation of the entry instances. It is
// not safe for concurrent use.
type SequenceSet struct {
	ranges map[incarnationKey][]*wire.SequenceRange
}

// NewSequenceSet returns an empty set.
func NewSequenceSet() *SequenceSet {
	return &SequenceSet{
		ranges: map[incarnationKey][]*wire.SequenceRange{},
	}
}

// FilterNew returns the records whose sequence numbers are not in the set.
func (s *SequenceSet) FilterNew(records []*wire.OutcomeRecord) []*wire.OutcomeRecord {
	var fresh []*wire.OutcomeRecord
	for _, record := range records {
		if !s.contains(record) {
			fresh = append(fresh, record)
		}
	}
	return fresh
}

// Add adds the sequence numbers of the records.
func (s *SequenceSet) Add(records []*wire.OutcomeRecord) {
	for _, record := range records {
		s.AddRange(&wire.SequenceRange{
			Instance:    record.GetInstance(),
			Incarnation: record.GetIncarnation(),
			First:       record.GetSequence(),
			Last:        record.GetSequence(),
		})
	}
}

// AddRange adds a range of sequence numbers and merges it with overlapping and adjacent ranges.
func (s *SequenceSet) AddRange(added *wire.SequenceRange) {
	key := incarnationKey{
		instance:    added.GetInstance(),
		incarnation: added.GetIncarnation(),
	}
	merged := &wire.SequenceRange{
		Instance:    added.GetInstance(),
		Incarnation: added.GetIncarnation(),
		First:       added.GetFirst(),
		Last:        added.GetLast(),
	}
	var updated []*wire.SequenceRange
	for _, existing := range s.ranges[key] {
		if existing.GetLast()+1 < merged.GetFirst() || merged.GetLast()+1 < existing.GetFirst() {
			updated = append(updated, existing)
			continue
		}
		merged.First = min(merged.GetFirst(), existing.GetFirst())
		merged.Last = max(merged.GetLast(), existing.GetLast())
	}
	updated = append(updated, merged)
	slices.SortFunc(updated, func(a, b *wire.SequenceRange) int { return cmp.Compare(a.GetFirst(), b.GetFirst()) })
	s.ranges[key] = updated
}

// Ranges returns the ranges of the set, sorted by instance, incarnation and sequence.
func (s *SequenceSet) Ranges() []*wire.SequenceRange {
	var all []*wire.SequenceRange
	for _, ranges := range s.ranges {
		all = append(all, ranges...)
	}
	slices.SortFunc(all, func(a, b *wire.SequenceRange) int {
		return cmp.Or(
			cmp.Compare(a.GetInstance(), b.GetInstance()),
			cmp.Compare(a.GetIncarnation(), b.GetIncarnation()),
			cmp.Compare(a.GetFirst(), b.GetFirst()),
		)
	})
	return all
}

// CountMissing returns how many sequence numbers are not in the set, counted for each incarnation between its
// lowest and its highest number in the set.
func (s *SequenceSet) CountMissing() uint64 {
	missing := uint64(0)
	for _, ranges := range s.ranges {
		next := ranges[0].GetFirst()
		for _, held := range ranges {
			missing += held.GetFirst() - next
			next = held.GetLast() + 1
		}
	}
	return missing
}

func (s *SequenceSet) contains(record *wire.OutcomeRecord) bool {
	key := incarnationKey{
		instance:    record.GetInstance(),
		incarnation: record.GetIncarnation(),
	}
	for _, held := range s.ranges[key] {
		if held.GetFirst() <= record.GetSequence() && record.GetSequence() <= held.GetLast() {
			return true
		}
	}
	return false
}
