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

// Intake is the set of record sequence numbers held of each incarnation of the entry instances. It is not
// safe for concurrent use.
type Intake struct {
	ranges map[incarnationKey][]*wire.SequenceRange
}

// NewIntake returns an empty set.
func NewIntake() *Intake {
	return &Intake{
		ranges: map[incarnationKey][]*wire.SequenceRange{},
	}
}

// New returns the records whose sequence numbers are not in the set.
func (i *Intake) New(records []*wire.OutcomeRecord) []*wire.OutcomeRecord {
	var fresh []*wire.OutcomeRecord
	for _, record := range records {
		if !i.contains(record) {
			fresh = append(fresh, record)
		}
	}
	return fresh
}

// Take adds the sequence numbers of the records.
func (i *Intake) Take(records []*wire.OutcomeRecord) {
	for _, record := range records {
		i.AddRange(&wire.SequenceRange{
			Instance:    record.GetInstance(),
			Incarnation: record.GetIncarnation(),
			First:       record.GetSequence(),
			Last:        record.GetSequence(),
		})
	}
}

// AddRange adds a range of sequence numbers and merges it with overlapping and adjacent ranges.
func (i *Intake) AddRange(added *wire.SequenceRange) {
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
	for _, existing := range i.ranges[key] {
		if existing.GetLast()+1 < merged.GetFirst() || merged.GetLast()+1 < existing.GetFirst() {
			updated = append(updated, existing)
			continue
		}
		merged.First = min(merged.GetFirst(), existing.GetFirst())
		merged.Last = max(merged.GetLast(), existing.GetLast())
	}
	updated = append(updated, merged)
	slices.SortFunc(updated, func(a, b *wire.SequenceRange) int { return cmp.Compare(a.GetFirst(), b.GetFirst()) })
	i.ranges[key] = updated
}

// Ranges returns the ranges of the set, sorted by instance, incarnation and sequence.
func (i *Intake) Ranges() []*wire.SequenceRange {
	var all []*wire.SequenceRange
	for _, ranges := range i.ranges {
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

// Missing returns how many sequence numbers are not in the set, counted for each incarnation between its
// lowest and its highest number in the set.
func (i *Intake) Missing() uint64 {
	missing := uint64(0)
	for _, ranges := range i.ranges {
		next := ranges[0].GetFirst()
		for _, held := range ranges {
			missing += held.GetFirst() - next
			next = held.GetLast() + 1
		}
	}
	return missing
}

func (i *Intake) contains(record *wire.OutcomeRecord) bool {
	key := incarnationKey{
		instance:    record.GetInstance(),
		incarnation: record.GetIncarnation(),
	}
	for _, held := range i.ranges[key] {
		if held.GetFirst() <= record.GetSequence() && record.GetSequence() <= held.GetLast() {
			return true
		}
	}
	return false
}
