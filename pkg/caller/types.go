package caller

import (
	"fmt"
	"time"
)

// Outcomes of a request.
const (
	Answered = "answered"
	NotRun   = "not-run"
	Unknown  = "unknown"
)

// Query is a search; its deadline is that of the context.
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

// QueryAnswer is the response to a search.
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

// Run is a non-idempotent request; Key and KeyTime must stay the same in every resend.
type Run struct {
	RequestID string
	Tenant    string
	Key       string
	KeyTime   time.Time
	Body      string
}

// RunAnswer is the response to a non-idempotent request.
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

// RequestError reports an invalid request, which a retry cannot fix.
type RequestError struct {
	Field  string
	Reason string
}

// Error returns the field and what is wrong with it.
func (e *RequestError) Error() string {
	return fmt.Sprintf("%s: %s", e.Field, e.Reason)
}

// NoAnswerError reports that the context of a query ended before it had an answer. Last is nil if the last call was refused.
type NoAnswerError struct {
	Calls int
	Last  error
}

// Error returns a message with the number of calls and the error of the last one.
func (e *NoAnswerError) Error() string {
	return fmt.Sprintf("no answer after %d calls, last error: %v", e.Calls, e.Last)
}

// Unwrap returns the error of the last call.
func (e *NoAnswerError) Unwrap() error { return e.Last }
