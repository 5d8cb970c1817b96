package recorder

import (
	"slices"

	"pimentogate.example/pimentogate/pkg/wire"
)

// Ring is a bounded queue of the records of one incarnation of an entry instance that are not yet stored by a
// control instance. It is not safe for concurrent use.
type Ring struct {
	instance     string
	incarnation  uint64
	capacity     int
	lastSequence uint64
	records      []*wire.OutcomeRecord
}

// New returns an empty queue that holds at most capacity records.
func New(instance string, incarnation uint64, capacity int) *Ring {
	return &Ring{
		instance:    instance,
		incarnation: incarnation,
		capacity:    capacity,
	}
}

// Add appends a record, or drops it if the queue is full, and reports whether it was appended. A dropped
// record uses up a sequence number too, which leaves a gap in the sequence.
func (r *Ring) Add(record *wire.OutcomeRecord) bool {
	r.lastSequence++
	if len(r.records) >= r.capacity {
		return false
	}
	record.Instance = r.instance
	record.Incarnation = r.incarnation
	record.Sequence = r.lastSequence
	r.records = append(r.records, record)
	return true
}

// Batch returns a request with the oldest records, at most maxRecords, or nil if the queue is empty.
func (r *Ring) Batch(maxRecords int) *wire.HandOverRequest {
	if len(r.records) == 0 {
		return nil
	}
	return &wire.HandOverRequest{
		Instance:    r.instance,
		Incarnation: r.incarnation,
		Records:     slices.Clone(r.records[:min(maxRecords, len(r.records))]),
	}
}

// Stored removes the records up to the sequence number, which a control instance has synced to disk.
func (r *Ring) Stored(sequence uint64) {
	for len(r.records) > 0 && r.records[0].GetSequence() <= sequence {
		r.records[0] = nil
		r.records = r.records[1:]
	}
}

// Len returns the number of queued records.
func (r *Ring) Len() int { return len(r.records) }
