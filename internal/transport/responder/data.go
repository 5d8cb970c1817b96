package responder

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"pimentogate.example/pimentogate/internal/coordination/merger"
	"pimentogate.example/pimentogate/pkg/wire"
)

// GenerateRows generates count rows for one shard in one version, and returns the limit highest-scored ones for a query. The rows are the same on every replica; their scores and values differ between versions and queries.
func GenerateRows(service, shard string, version uint64, query string, limit, count int) []*wire.Row {
	rows := make([]*wire.Row, 0, count)
	for i := range count {
		key := fmt.Sprintf("%s/%s/%d", service, shard, i)
		hash := xxhash.Sum64String(fmt.Sprintf("%s@%d?%s", key, version, query))
		rows = append(rows, &wire.Row{
			Key:   key,
			Score: float64(hash >> 11),
			Value: fmt.Sprintf("v%d:%s", version, query),
		})
	}
	return merger.Merge([][]*wire.Row{rows}, limit)
}
