package parser

import (
	"time"

	"pimentogate.example/pimentogate/pkg/wire"
)

// Row is one result.
type Row struct {
	Key   string  `json:"key"`
	Score float64 `json:"score"`
	Value string  `json:"value"`
}

// QueryAnswer is what a caller is told about its search.
type QueryAnswer struct {
	RequestID string `json:"request-id"`
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason,omitempty"`
	// Field is the part of the request that is wrong, or empty.
	Field           string   `json:"field,omitempty"`
	IndexVersion    uint64   `json:"index-version"`
	Coverage        float64  `json:"coverage"`
	CoverageMet     bool     `json:"coverage-met"`
	MissingShards   []string `json:"missing-shards"`
	ConfigRevision  uint64   `json:"config-revision"`
	ConfigConfirmed bool     `json:"config-confirmed"`
	RetryAfterMs    int64    `json:"retry-after-ms,omitempty"`
	Rows            []Row    `json:"rows"`
}

// RunAnswer is what a caller is told about its non-idempotent request.
type RunAnswer struct {
	RequestID string `json:"request-id"`
	Key       string `json:"key"`
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason,omitempty"`
	// Field is the part of the request that is wrong, or empty.
	Field    string `json:"field,omitempty"`
	Result   string `json:"result,omitempty"`
	Repeated bool   `json:"repeated"`
	// EarlierCalls goes with not-run: none where no earlier call of the key has run or can run, else unknown.
	EarlierCalls    string `json:"earlier-calls,omitempty"`
	ConfigRevision  uint64 `json:"config-revision"`
	ConfigConfirmed bool   `json:"config-confirmed"`
	RetryAfterMs    int64  `json:"retry-after-ms,omitempty"`
}

// Mistake is what a caller is told about a request that is wrong.
type Mistake struct {
	RequestID string `json:"request-id"`
	Outcome   string `json:"outcome"`
	Field     string `json:"field"`
	Reason    string `json:"reason"`
}

// OutcomeName returns an outcome as callers read it.
func OutcomeName(outcome wire.Outcome) string {
	switch outcome {
	case wire.Outcome_OUTCOME_ANSWERED:
		return "answered"
	case wire.Outcome_OUTCOME_NOT_RUN:
		return "not-run"
	default:
		return "unknown"
	}
}

// CoverageShare returns millionths as a share from 0 to 1.
func CoverageShare(millionths uint32) float64 {
	return float64(millionths) / wire.CoverageWhole
}

// Rows returns the rows as callers read them.
func Rows(rows []*wire.Row) []Row {
	list := make([]Row, 0, len(rows))
	for _, row := range rows {
		list = append(list, Row{
			Key:   row.GetKey(),
			Score: row.GetScore(),
			Value: row.GetValue(),
		})
	}
	return list
}

// Milliseconds returns a duration rounded up to whole milliseconds.
func Milliseconds(d time.Duration) int64 {
	return (d + time.Millisecond - 1).Milliseconds()
}
