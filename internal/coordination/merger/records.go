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
