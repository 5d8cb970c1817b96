package recorder

import (
	"slices"

	"pimentogate.example/pimentogate/pkg/wire"
)

// Ring is the records of one life of an entry instance that are not handed over yet; it is not safe for concurrent use.
type Ring struct {
	instance    string
	incarnation uint64
	limit       int
	last        uint64
	records     []*wire.OutcomeRecord
}

// New returns an empty ring that holds so many records at most.
func New(instance string, incarnation uint64, limit int) *Ring {
	return &Ring{
		instance:    instance,
		incarnation: incarnation,
		limit:       limit,
	}
}

// Add keeps a record, or drops it where the ring is full; either way it uses up a sequence number.
func (r *Ring) Add(record *wire.OutcomeRecord) bool {
	r.last++
	if len(r.records) >= r.limit {
		return false
	}
	record.Instance = r.instance
	record.Incarnation = r.incarnation
	record.Sequence = r.last
	r.records = append(r.records, record)
	return true
}

// Batch returns the oldest records, as many as size at most, or nil where there are none.
func (r *Ring) Batch(size int) *wire.HandOverRequest {
	if len(r.records) == 0 {
		return nil
	}
	return &wire.HandOverRequest{
		Instance:    r.instance,
		Incarnation: r.incarnation,
		Records:     slices.Clone(r.records[:min(size, len(r.records))]),
	}
}

// Stored drops the records up to a sequence number, which a control instance has synced.
func (r *Ring) Stored(sequence uint64) {
	for len(r.records) > 0 && r.records[0].GetSequence() <= sequence {
		r.records[0] = nil
		r.records = r.records[1:]
	}
}

// Len returns how many records are waiting.
func (r *Ring) Len() int { return len(r.records) }
