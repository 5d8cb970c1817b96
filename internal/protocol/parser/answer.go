package parser

import (
	"time"

	"pimentogate.example/pimentogate/pkg/wire"
)

// Row is one result of a search.
type Row struct {
	Key   string  `json:"key"`
	Score float64 `json:"score"`
	Value string  `json:"value"`
}

// QueryAnswer is the response to a search.
type QueryAnswer struct {
	RequestID string `json:"request-id"`
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason,omitempty"`
	// Field is the invalid field of the request, if any.
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

// RunAnswer is the response to a non-idempotent request.
type RunAnswer struct {
	RequestID string `json:"request-id"`
	Key       string `json:"key"`
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason,omitempty"`
	// Field is the invalid field of the request, if any.
	Field    string `json:"field,omitempty"`
	Result   string `json:"result,omitempty"`
	Repeated bool   `json:"repeated"`
	// EarlierCalls is set if the outcome is not-run: none if no earlier call with the key has run or can still run, otherwise unknown.
	EarlierCalls    string `json:"earlier-calls,omitempty"`
	ConfigRevision  uint64 `json:"config-revision"`
	ConfigConfirmed bool   `json:"config-confirmed"`
	RetryAfterMs    int64  `json:"retry-after-ms,omitempty"`
}

// ErrorAnswer is the response to an invalid request.
type ErrorAnswer struct {
	RequestID string `json:"request-id"`
	Outcome   string `json:"outcome"`
	Field     string `json:"field"`
	Reason    string `json:"reason"`
}

// OutcomeName returns the name of an outcome in responses.
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

// CoverageFraction converts millionths to a fraction from 0 to 1.
func CoverageFraction(millionths uint32) float64 {
	return float64(millionths) / wire.FullCoverage
}

// ConvertRows converts rows of a message to rows of a response.
func ConvertRows(rows []*wire.Row) []Row {
	converted := make([]Row, 0, len(rows))
	for _, row := range rows {
		converted = append(converted, Row{
			Key:   row.GetKey(),
			Score: row.GetScore(),
			Value: row.GetValue(),
		})
	}
	return converted
}

// CeilMilliseconds returns a duration rounded up to whole milliseconds.
func CeilMilliseconds(d time.Duration) int64 {
	return (d + time.Millisecond - 1).Milliseconds()
}
