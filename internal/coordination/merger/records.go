package merger

import (
	"bytes"
	"slices"
)

// RecordSize is the length in bytes of a record; records are compared bytewise.
const RecordSize = 16

// TopRecords returns up to limit of the greatest records of the parts, concatenated in descending order. Duplicates are kept; trailing bytes of a part that are shorter than a record are ignored.
func TopRecords(parts [][]byte, limit int) []byte {
	var records [][]byte
	for _, part := range parts {
		for len(part) >= RecordSize {
			records = append(records, part[:RecordSize])
			part = part[RecordSize:]
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if len(records) > limit {
		records = records[:limit]
	}
	return slices.Concat(records...)
}

// Accumulator keeps the greatest records of parts that are added one after the other.
type Accumulator struct {
	limit int
	// held holds the greatest records added so far, in descending order.
	held []byte
}

// NewAccumulator returns an accumulator of up to limit records.
func NewAccumulator(limit int) *Accumulator {
	return &Accumulator{
		limit: limit,
	}
}

// Add adds parts and returns those of their records that are among the greatest added so far, in descending order. The results of all calls together contain the greatest records.
func (a *Accumulator) Add(parts [][]byte) []byte {
	added := TopRecords(parts, a.limit)
	var merged, fresh []byte
	held := a.held
	for len(merged) < a.limit*RecordSize && len(held)+len(added) > 0 {
		if len(added) == 0 || len(held) > 0 && bytes.Compare(held[:RecordSize], added[:RecordSize]) >= 0 {
			merged = append(merged, held[:RecordSize]...)
			held = held[RecordSize:]
			continue
		}
		merged = append(merged, added[:RecordSize]...)
		fresh = append(fresh, added[:RecordSize]...)
		added = added[RecordSize:]
	}
	a.held = merged
	return fresh
}
