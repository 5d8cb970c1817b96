package caller

import (
	"fmt"
	"time"
)

// The outcomes of a request.
const (
	Answered = "answered"
	NotRun   = "not-run"
	Unknown  = "unknown"
)

// Query is a search; its time is the context's.
type Query struct {
	RequestID string   `json:"request-id,omitempty"`
	Tenant    string   `json:"tenant,omitempty"`
	Query     string   `json:"query"`
	Limit     int      `json:"limit,omitempty"`
	Coverage  *float64 `json:"coverage,omitempty"`
}

// Row is one result of a search.
type Row struct {
	Key   string  `json:"key"`
	Score float64 `json:"score"`
	Value string  `json:"value"`
}

// QueryAnswer is what became of a search.
type QueryAnswer struct {
	RequestID       string   `json:"request-id"`
	Outcome         string   `json:"outcome"`
	Reason          string   `json:"reason"`
	IndexVersion    uint64   `json:"index-version"`
	Coverage        float64  `json:"coverage"`
	CoverageMet     bool     `json:"coverage-met"`
	MissingShards   []string `json:"missing-shards"`
	ConfigRevision  uint64   `json:"config-revision"`
	ConfigConfirmed bool     `json:"config-confirmed"`
	RetryAfterMs    int64    `json:"retry-after-ms"`
	Rows            []Row    `json:"rows"`
	Field           string   `json:"field"`
}

// Run is a non-idempotent request; the key and its time stay the same in every resend.
type Run struct {
	RequestID string
	Tenant    string
	Key       string
	KeyTime   time.Time
	Body      string
}

// RunAnswer is what became of a non-idempotent request.
type RunAnswer struct {
	RequestID       string `json:"request-id"`
	Key             string `json:"key"`
	Outcome         string `json:"outcome"`
	Reason          string `json:"reason"`
	Result          string `json:"result"`
	Repeated        bool   `json:"repeated"`
	EarlierCalls    string `json:"earlier-calls"`
	ConfigRevision  uint64 `json:"config-revision"`
	ConfigConfirmed bool   `json:"config-confirmed"`
	RetryAfterMs    int64  `json:"retry-after-ms"`
	Field           string `json:"field"`
	// Calls is how many times the request was sent.
	Calls int `json:"-"`
}

// RequestError is a mistake in a request, which no resend would mend.
type RequestError struct {
	Field  string
	Reason string
}

// Error names the field and what is wrong with it.
func (e *RequestError) Error() string {
	return fmt.Sprintf("%s: %s", e.Field, e.Reason)
}

// NoAnswerError says that no entry instance answered in time.
type NoAnswerError struct {
	Calls int
	Last  error
}

// Error says how often it was tried, and how the last call failed.
func (e *NoAnswerError) Error() string {
	return fmt.Sprintf("no answer after %d calls: %v", e.Calls, e.Last)
}

// Unwrap returns how the last call failed.
func (e *NoAnswerError) Unwrap() error { return e.Last }
