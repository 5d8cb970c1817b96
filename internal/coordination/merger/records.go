package merger

import (
	"bytes"
	"slices"
)

// RecordSize is the length of a record that is ordered by its bytes.
const RecordSize = 16

// Greatest returns the greatest records of the parts, falling; equal records all count, and a rest shorter than a record is none.
func Greatest(parts [][]byte, limit int) []byte {
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
