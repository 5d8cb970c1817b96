package recorder

import (
	"cmp"
	"slices"

	"pimentogate.example/pimentogate/pkg/wire"
)

// life is one life of an entry instance.
type life struct {
	instance    string
	incarnation uint64
}

// Intake knows which sequence numbers are held, and which records of a batch are new; it is not safe for concurrent use.
type Intake struct {
	ranges map[life][]*wire.SequenceRange
}

// NewIntake returns an intake that holds nothing.
func NewIntake() *Intake {
	return &Intake{
		ranges: map[life][]*wire.SequenceRange{},
	}
}

// New returns the records that are not held yet.
func (i *Intake) New(records []*wire.OutcomeRecord) []*wire.OutcomeRecord {
	var fresh []*wire.OutcomeRecord
	for _, record := range records {
		if !i.holds(record) {
			fresh = append(fresh, record)
		}
	}
	return fresh
}

// Take notes that the records are held.
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

// AddRange notes that a whole range is held, and joins it with those it touches.
func (i *Intake) AddRange(added *wire.SequenceRange) {
	of := life{
		instance:    added.GetInstance(),
		incarnation: added.GetIncarnation(),
	}
	joined := &wire.SequenceRange{
		Instance:    added.GetInstance(),
		Incarnation: added.GetIncarnation(),
		First:       added.GetFirst(),
		Last:        added.GetLast(),
	}
	var kept []*wire.SequenceRange
	for _, known := range i.ranges[of] {
		if known.GetLast()+1 < joined.GetFirst() || joined.GetLast()+1 < known.GetFirst() {
			kept = append(kept, known)
			continue
		}
		joined.First = min(joined.GetFirst(), known.GetFirst())
		joined.Last = max(joined.GetLast(), known.GetLast())
	}
	kept = append(kept, joined)
	slices.SortFunc(kept, func(a, b *wire.SequenceRange) int { return cmp.Compare(a.GetFirst(), b.GetFirst()) })
	i.ranges[of] = kept
}

// Ranges returns what is held, in the order of instance, life and sequence.
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

// Missing counts the sequence numbers between the lowest and the highest one held of each life that are not held.
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

func (i *Intake) holds(record *wire.OutcomeRecord) bool {
	of := life{
		instance:    record.GetInstance(),
		incarnation: record.GetIncarnation(),
	}
	for _, held := range i.ranges[of] {
		if held.GetFirst() <= record.GetSequence() && record.GetSequence() <= held.GetLast() {
			return true
		}
	}
	return false
}
