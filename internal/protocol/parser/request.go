package parser

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes = 64 << 10
	// MaxKeyBytes is the maximum length of a key.
	MaxKeyBytes       = 200
	maxRequestIDBytes = 100
	maxLimit          = 1000
	defaultLimit      = 10
	maxTimeout        = time.Minute
)

// RequestError reports an invalid field of a request, or an invalid body.
type RequestError struct {
	Field  string
	Reason string
	// TooLarge is set if the body exceeds MaxBodyBytes.
	TooLarge bool
	// Cause is the error that the body could not be read for, if any.
	Cause error
}

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Cause }

// Error returns the field and what is wrong with it.
func (e *RequestError) Error() string {
	return fmt.Sprintf("%s: %s", e.Field, e.Reason)
}

// Query is the body of a search.
type Query struct {
	RequestID string   `json:"request-id"`
	Tenant    string   `json:"tenant"`
	Query     string   `json:"query"`
	Limit     int      `json:"limit"`
	TimeoutMs *int64   `json:"timeout-ms"`
	Deadline  string   `json:"deadline"`
	Coverage  *float64 `json:"coverage"`
}

// Run is the body of a non-idempotent request.
type Run struct {
	RequestID string `json:"request-id"`
	Tenant    string `json:"tenant"`
	Key       string `json:"key"`
	KeyTime   string `json:"key-time"`
	// Resend numbers the calls with the key: 0 for the first, and higher for each call after one that may have run.
	Resend    uint32 `json:"resend"`
	Body      string `json:"body"`
	TimeoutMs *int64 `json:"timeout-ms"`
	Deadline  string `json:"deadline"`
}

// ReadQuery decodes and validates a search; the error for invalid input is a RequestError.
func ReadQuery(body io.Reader) (*Query, error) {
	q := &Query{
		Limit: defaultLimit,
	}
	if err := decode(body, q); err != nil {
		return nil, err
	}
	if err := checkRequestID(q.RequestID); err != nil {
		return nil, err
	}
	if q.Limit < 1 || q.Limit > maxLimit {
		return nil, newRequestError("limit", fmt.Sprintf("must be from 1 to %d", maxLimit))
	}
	if q.Coverage != nil && (*q.Coverage < 0 || *q.Coverage > 1 || math.IsNaN(*q.Coverage)) {
		return nil, newRequestError("coverage", "must be from 0 to 1")
	}
	return q, nil
}

// ReadRun decodes and validates a non-idempotent request; the error for invalid input is a RequestError.
func ReadRun(body io.Reader) (*Run, error) {
	r := &Run{}
	if err := decode(body, r); err != nil {
		return nil, err
	}
	if err := checkRequestID(r.RequestID); err != nil {
		return nil, err
	}
	if r.Key == "" {
		return nil, newRequestError("key", "must not be empty")
	}
	if len(r.Key) > MaxKeyBytes {
		return nil, newRequestError("key", fmt.Sprintf("must be at most %d bytes", MaxKeyBytes))
	}
	if _, err := time.Parse(time.RFC3339, r.KeyTime); err != nil {
		return nil, newRequestError("key-time", "must be the RFC 3339 time at which the key was made, the same in every resend")
	}
	return r, nil
}

// RequiredCoverage returns the coverage required by the query in millionths, or the default of the service.
func (q *Query) RequiredCoverage(defaultMillionths uint32) uint32 {
	if q.Coverage == nil {
		return defaultMillionths
	}
	return uint32(math.Ceil(*q.Coverage * wire.FullCoverage))
}

// KeyTimeMs returns the creation time of the key in Unix milliseconds.
func (r *Run) KeyTimeMs() int64 {
	keyTime, _ := time.Parse(time.RFC3339, r.KeyTime)
	return keyTime.UnixMilli()
}

// BodyDigest returns a hash of the body, which distinguishes a resend from another request under the same key.
func (r *Run) BodyDigest() string {
	sum := sha256.Sum256([]byte(r.Body))
	return hex.EncodeToString(sum[:])
}

// ParseDeadline returns the deadline of a request from timeout-ms or deadline; exactly one must be set.
func ParseDeadline(now time.Time, timeoutMs *int64, deadline string) (time.Time, error) {
	if (timeoutMs == nil) == (deadline == "") {
		return time.Time{}, newRequestError("timeout-ms", "give either timeout-ms or deadline")
	}
	if timeoutMs != nil {
		return deadlineAfter(now, *timeoutMs)
	}
	parsed, err := time.Parse(time.RFC3339Nano, deadline)
	if err != nil {
		return time.Time{}, newRequestError("deadline", "must be an RFC 3339 time")
	}
	if !parsed.After(now) {
		return time.Time{}, newRequestError("deadline", "has passed")
	}
	if parsed.After(now.Add(maxTimeout)) {
		return time.Time{}, newRequestError("deadline", "must be within "+maxTimeout.String())
	}
	return parsed, nil
}

// deadlineAfter returns the deadline for a timeout, or an error if the timeout is out of range.
func deadlineAfter(now time.Time, timeoutMs int64) (time.Time, error) {
	if timeoutMs <= 0 || timeoutMs > maxTimeout.Milliseconds() {
		return time.Time{}, newRequestError("timeout-ms", fmt.Sprintf("must be from 1 to %d", maxTimeout.Milliseconds()))
	}
	return now.Add(time.Duration(timeoutMs) * time.Millisecond), nil
}

// decode reads one JSON object of at most MaxBodyBytes into the target, and rejects unknown fields.
func decode(body io.Reader, target any) error {
	source, err := io.ReadAll(io.LimitReader(body, MaxBodyBytes+1))
	if err != nil {
		return &RequestError{
			Field:  "body",
			Reason: "could not be read whole",
			Cause:  err,
		}
	}
	if len(source) > MaxBodyBytes {
		return &RequestError{
			Field:    "body",
			Reason:   fmt.Sprintf("must be at most %d bytes", MaxBodyBytes),
			TooLarge: true,
		}
	}
	decoder := json.NewDecoder(bytes.NewReader(source))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return decodeError(err)
	}
	if decoder.More() {
		return newRequestError("body", "must be one JSON object")
	}
	return nil
}

// decodeError converts an error of the JSON decoder to a RequestError.
func decodeError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) && typeErr.Field != "" {
		return newRequestError(typeErr.Field, "must be a "+typeErr.Type.String())
	}
	return newRequestError("body", err.Error())
}

func checkRequestID(id string) error {
	if len(id) > maxRequestIDBytes {
		return newRequestError("request-id", fmt.Sprintf("must be at most %d bytes", maxRequestIDBytes))
	}
	return nil
}

func newRequestError(field, reason string) error {
	return &RequestError{
		Field:  field,
		Reason: reason,
	}
}
