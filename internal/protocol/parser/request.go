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
	// MaxBody is the size of a request's body at most, in bytes.
	MaxBody = 64 << 10
	// MaxKey is the length of a key at most, in bytes.
	MaxKey       = 200
	maxRequestID = 100
	maxLimit     = 1000
	defaultLimit = 10
	maxTimeout   = time.Minute
)

// RequestError is a mistake in a caller's request, with the field it is in.
type RequestError struct {
	Field  string
	Reason string
	// TooLarge says that the body is over MaxBody.
	TooLarge bool
}

// Error names the field and what is allowed.
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
	// Resend is 0 for the first call of the key, and one higher for each further one.
	Resend    uint32 `json:"resend"`
	Body      string `json:"body"`
	TimeoutMs *int64 `json:"timeout-ms"`
	Deadline  string `json:"deadline"`
}

// ReadQuery decodes and checks a search; mistakes come as a RequestError.
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
		return nil, mistake("limit", fmt.Sprintf("must be from 1 to %d", maxLimit))
	}
	if q.Coverage != nil && (*q.Coverage < 0 || *q.Coverage > 1 || math.IsNaN(*q.Coverage)) {
		return nil, mistake("coverage", "must be from 0 to 1")
	}
	return q, nil
}

// ReadRun decodes and checks a non-idempotent request; mistakes come as a RequestError.
func ReadRun(body io.Reader) (*Run, error) {
	r := &Run{}
	if err := decode(body, r); err != nil {
		return nil, err
	}
	if err := checkRequestID(r.RequestID); err != nil {
		return nil, err
	}
	if r.Key == "" {
		return nil, mistake("key", "must not be empty")
	}
	if len(r.Key) > MaxKey {
		return nil, mistake("key", fmt.Sprintf("must be at most %d bytes", MaxKey))
	}
	if _, err := time.Parse(time.RFC3339, r.KeyTime); err != nil {
		return nil, mistake("key-time", "must be the RFC 3339 time at which the key was made, the same in every resend")
	}
	return r, nil
}

// RequiredCoverage returns the coverage that the query asks for in millionths, or the service's.
func (q *Query) RequiredCoverage(service uint32) uint32 {
	if q.Coverage == nil {
		return service
	}
	return uint32(math.Ceil(*q.Coverage * wire.CoverageWhole))
}

// KeyTimeMs returns the key's time in Unix milliseconds.
func (r *Run) KeyTimeMs() int64 {
	at, _ := time.Parse(time.RFC3339, r.KeyTime)
	return at.UnixMilli()
}

// BodyDigest returns the hash that tells a resend from another request.
func (r *Run) BodyDigest() string {
	sum := sha256.Sum256([]byte(r.Body))
	return hex.EncodeToString(sum[:])
}

// Deadline returns when the caller must have its answer, from timeout-ms or deadline, of which one must be given.
func Deadline(now time.Time, timeoutMs *int64, deadline string) (time.Time, error) {
	if (timeoutMs == nil) == (deadline == "") {
		return time.Time{}, mistake("timeout-ms", "give either timeout-ms or deadline")
	}
	if timeoutMs != nil {
		return fromTimeout(now, *timeoutMs)
	}
	at, err := time.Parse(time.RFC3339Nano, deadline)
	if err != nil {
		return time.Time{}, mistake("deadline", "must be an RFC 3339 time")
	}
	if !at.After(now) {
		return time.Time{}, mistake("deadline", "has passed")
	}
	if at.After(now.Add(maxTimeout)) {
		return time.Time{}, mistake("deadline", "must be within "+maxTimeout.String())
	}
	return at, nil
}

func fromTimeout(now time.Time, timeoutMs int64) (time.Time, error) {
	if timeoutMs <= 0 || timeoutMs > maxTimeout.Milliseconds() {
		return time.Time{}, mistake("timeout-ms", fmt.Sprintf("must be from 1 to %d", maxTimeout.Milliseconds()))
	}
	return now.Add(time.Duration(timeoutMs) * time.Millisecond), nil
}

func decode(body io.Reader, target any) error {
	source, err := io.ReadAll(io.LimitReader(body, MaxBody+1))
	if err != nil {
		return mistake("body", "could not be read whole")
	}
	if len(source) > MaxBody {
		return &RequestError{
			Field:    "body",
			Reason:   fmt.Sprintf("must be at most %d bytes", MaxBody),
			TooLarge: true,
		}
	}
	decoder := json.NewDecoder(bytes.NewReader(source))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return bodyMistake(err)
	}
	if decoder.More() {
		return mistake("body", "must be one JSON object")
	}
	return nil
}

func bodyMistake(err error) error {
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) && kind.Field != "" {
		return mistake(kind.Field, "must be a "+kind.Type.String())
	}
	return mistake("body", err.Error())
}

func checkRequestID(id string) error {
	if len(id) > maxRequestID {
		return mistake("request-id", fmt.Sprintf("must be at most %d bytes", maxRequestID))
	}
	return nil
}

func mistake(field, reason string) error {
	return &RequestError{
		Field:  field,
		Reason: reason,
	}
}
