package recorder

import (
	"slices"

	"pimentogate.example/pimentogate/pkg/wire"
)

// Queue is a bounded queue of the records of one incarnation of an entry instance that are not yet stored by
// a control instance. It is not safe for concurrent use.
type Queue struct {
	instance     string
	incarnation  uint64
	capacity     int
	lastSequence uint64
	records      []*wire.OutcomeRecord
}

// NewQueue returns an empty queue that holds at most capacity records.
func NewQueue(instance string, incarnation uint64, capacity int) *Queue {
	return &Queue{
		instance:    instance,
		incarnation: incarnation,
		capacity:    capacity,
	}
}

// Add appends a record, or drops it if the queue is full, and reports whether it was appended. A dropped
// record uses up a sequence number too, which leaves a gap in the sequence.
func (q *Queue) Add(record *wire.OutcomeRecord) bool {
	q.lastSequence++
	if len(q.records) >= q.capacity {
		return false
	}
	record.Instance = q.instance
	record.Incarnation = q.incarnation
	record.Sequence = q.lastSequence
	q.records = append(q.records, record)
	return true
}

// Batch returns a request with the oldest records, at most maxRecords, or nil if the queue is empty.
func (q *Queue) Batch(maxRecords int) *wire.HandOverRequest {
	if len(q.records) == 0 {
		return nil
	}
	return &wire.HandOverRequest{
		Instance:    q.instance,
		Incarnation: q.incarnation,
		Records:     slices.Clone(q.records[:min(maxRecords, len(q.records))]),
	}
}

// RemoveStored removes the records up to the sequence number, which a control instance has synced to disk.
func (q *Queue) RemoveStored(sequence uint64) {
	for len(q.records) > 0 && q.records[0].GetSequence() <= sequence {
		q.records[0] = nil
		q.records = q.records[1:]
	}
}

// Len returns the number of queued records.
func (q *Queue) Len() int { return len(q.records) }
