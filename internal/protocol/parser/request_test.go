package parser

import (
	"errors"
	"strings"
	"testing"
	"time"

	"pimentogate.example/pimentogate/pkg/wire"
)

func TestQueryMistakes(t *testing.T) {
	cases := []struct {
		body  string
		field string
	}{
		{``, "body"},
		{`[]`, "body"},
		{`{"query": "a"`, "body"},
		{`{"query": "a"} {}`, "body"},
		{`{"query": "a", "shard": "b"}`, "body"},
		{`{"query": 5}`, "query"},
		{`{"limit": 0}`, "limit"},
		{`{"limit": 1001}`, "limit"},
		{`{"limit": "ten"}`, "limit"},
		{`{"coverage": -0.1}`, "coverage"},
		{`{"coverage": 1.1}`, "coverage"},
		{`{"coverage": 1e400}`, "coverage"},
		{`{"timeout-ms": 1.5}`, "timeout-ms"},
		{`{"request-id": "` + strings.Repeat("x", maxRequestIDBytes+1) + `"}`, "request-id"},
		{`{"query": "` + strings.Repeat("x", MaxBodyBytes) + `"}`, "body"},
	}
	for _, c := range cases {
		_, err := ReadQuery(strings.NewReader(c.body))
		checkField(t, c.body, err, c.field)
	}
}

func TestRunMistakes(t *testing.T) {
	cases := []struct {
		body  string
		field string
	}{
		{`{"key-time": "2026-01-01T00:00:00Z"}`, "key"},
		{`{"key": "", "key-time": "2026-01-01T00:00:00Z"}`, "key"},
		{`{"key": "` + strings.Repeat("k", MaxKeyBytes+1) + `", "key-time": "2026-01-01T00:00:00Z"}`, "key"},
		{`{"key": "k"}`, "key-time"},
		{`{"key": "k", "key-time": "yesterday"}`, "key-time"},
		{`{"key": 7, "key-time": "2026-01-01T00:00:00Z"}`, "key"},
	}
	for _, c := range cases {
		_, err := ReadRun(strings.NewReader(c.body))
		checkField(t, c.body, err, c.field)
	}
}

func TestDeadline(t *testing.T) {
	now := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	ms := func(value int64) *int64 { return &value }
	cases := []struct {
		name      string
		timeoutMs *int64
		deadline  string
		field     string
		want      time.Time
	}{
		{"neither", nil, "", "timeout-ms", time.Time{}},
		{"both", ms(10), "2026-01-01T12:00:01Z", "timeout-ms", time.Time{}},
		{"zero", ms(0), "", "timeout-ms", time.Time{}},
		{"negative", ms(-5), "", "timeout-ms", time.Time{}},
		{"too long", ms(maxTimeout.Milliseconds() + 1), "", "timeout-ms", time.Time{}},
		{"not a time", nil, "noon", "deadline", time.Time{}},
		{"past", nil, "2026-01-01T11:59:59Z", "deadline", time.Time{}},
		{"now", nil, "2026-01-01T12:00:00Z", "deadline", time.Time{}},
		{"too far in the future", nil, "2026-01-01T13:00:00Z", "deadline", time.Time{}},
		{"valid timeout", ms(250), "", "", now.Add(250 * time.Millisecond)},
		{"valid deadline in another time zone", nil, "2026-01-01T13:00:00.5+01:00", "", now.Add(500 * time.Millisecond)},
	}
	for _, c := range cases {
		deadline, err := ParseDeadline(now, c.timeoutMs, c.deadline)
		if c.field != "" {
			checkField(t, c.name, err, c.field)
			continue
		}
		if err != nil || !deadline.Equal(c.want) {
			t.Errorf("%s: got deadline %s, error %v", c.name, deadline, err)
		}
	}
}

func checkField(t *testing.T, input string, err error, field string) {
	t.Helper()
	var requestErr *RequestError
	if !errors.As(err, &requestErr) || requestErr.Field != field || requestErr.Reason == "" {
		t.Errorf("%.80s: got %v, want a RequestError for field %s", input, err, field)
	}
}

// FuzzRequests decodes arbitrary bodies as a Query and as a Run; the result must be within bounds, or the error a RequestError with a field.
func FuzzRequests(f *testing.F) {
	for _, seed := range []string{
		`{"request-id": "r", "tenant": "t", "query": "bakery", "limit": 5, "timeout-ms": 100, "coverage": 0.9}`,
		`{"key": "k", "key-time": "2026-01-01T00:00:00Z", "body": "restore", "deadline": "2026-01-01T00:00:01Z"}`,
		`{"coverage": null, "limit": 1e3}`,
		`{"LIMIT": 5}`,
		`{"limit": 5, "limit": 0}`,
		"\xff\x00{",
		`{"query": "\ud800"}`,
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, body string) {
		q, err := ReadQuery(strings.NewReader(body))
		if err == nil {
			checkQuery(t, q)
		} else {
			checkRequestError(t, err)
		}
		r, err := ReadRun(strings.NewReader(body))
		if err == nil {
			checkRun(t, r)
		} else {
			checkRequestError(t, err)
		}
	})
}

func checkQuery(t *testing.T, q *Query) {
	t.Helper()
	if q.Limit < 1 || q.Limit > maxLimit || len(q.RequestID) > maxRequestIDBytes || q.RequiredCoverage(wire.FullCoverage) > wire.FullCoverage {
		t.Errorf("query out of bounds: %+v", q)
	}
}

func checkRun(t *testing.T, r *Run) {
	t.Helper()
	if r.Key == "" || len(r.Key) > MaxKeyBytes || r.BodyDigest() == "" {
		t.Errorf("run out of bounds: %+v", r)
	}
}

func checkRequestError(t *testing.T, err error) {
	t.Helper()
	var requestErr *RequestError
	if !errors.As(err, &requestErr) || requestErr.Field == "" || requestErr.Reason == "" {
		t.Errorf("not a RequestError with a field and a reason: %v", err)
	}
}
