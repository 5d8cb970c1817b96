package merger

import (
	"cmp"
	"slices"

	"pimentogate.example/pimentogate/pkg/wire"
)

// Merge returns up to limit rows in descending order of score and, for equal scores, ascending order of key. Of the rows with the same key, only the first in this order is kept.
func Merge(parts [][]*wire.Row, limit int) []*wire.Row {
	rows := slices.Concat(parts...)
	slices.SortFunc(rows, compareRows)
	merged := make([]*wire.Row, 0, min(limit, len(rows)))
	seen := make(map[string]bool, min(limit, len(rows)))
	for _, row := range rows {
		if len(merged) == limit {
			break
		}
		if seen[row.GetKey()] {
			continue
		}
		seen[row.GetKey()] = true
		merged = append(merged, row)
	}
	return merged
}

func compareRows(a, b *wire.Row) int {
	return cmp.Or(
		cmp.Compare(b.GetScore(), a.GetScore()),
		cmp.Compare(a.GetKey(), b.GetKey()),
	)
}
