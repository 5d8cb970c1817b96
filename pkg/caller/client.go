package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"
)

const (
	// callShare is the part of the time left that one call is given, so that a silent entry instance leaves time for another.
	callShare = 2
	leastCall = 50 * time.Millisecond
	// grace is how long after its deadline an answer is still waited for.
	grace       = 50 * time.Millisecond
	lostPause   = 20 * time.Millisecond
	defaultTime = 10 * time.Second
	maxAnswer   = 64 << 20

	earlierNone = "none"
)

// Client asks the entry instances in turn; it is safe for concurrent use.
type Client struct {
	http    *http.Client
	entries []string
	next    atomic.Uint64
}

// New returns a client of the entry instances at the addresses, or of the balancer before them.
func New(client *http.Client, entries []string) *Client {
	return &Client{
		http:    client,
		entries: entries,
	}
}

// Query searches until there is an answer or the context ends; a refusal is asked again after the time that it names.
func (c *Client) Query(ctx context.Context, service string, query Query) (*QueryAnswer, error) {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	var last error
	for calls := 1; ; calls++ {
		answer := &QueryAnswer{}
		err := c.post(ctx, service, "query", queryBody{
			Query:     query,
			TimeoutMs: callTime(ctx).Milliseconds(),
		}, answer)
		if err == nil && answer.Field != "" {
			return nil, &RequestError{
				Field:  answer.Field,
				Reason: answer.Reason,
			}
		}
		if err == nil && !mayWait(ctx, answer.RetryAfterMs) {
			return answer, nil
		}
		last = err
		if !pause(ctx, waitFor(err, answer.RetryAfterMs)) {
			return nil, &NoAnswerError{
				Calls: calls,
				Last:  last,
			}
		}
	}
}

// Run sends a non-idempotent request, and sends it again under its key until its outcome is known or the context ends; not-run is only returned where no call has run.
func (c *Client) Run(ctx context.Context, service string, run Run) (*RunAnswer, error) {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	a := &attempts{
		run: run,
	}
	for {
		answer := &RunAnswer{}
		err := c.post(ctx, service, "run", a.body(ctx), answer)
		a.take(answer, err)
		if a.isFinal(ctx, answer, err) || !pause(ctx, waitFor(err, answer.RetryAfterMs)) {
			return a.result(answer, err)
		}
	}
}

// attempts is what the calls of one request have shown.
type attempts struct {
	run   Run
	calls int
	// resend goes up after each call that may have run, so that the journal shuts it out.
	resend int
	// open says that a call may have run without its outcome being known.
	open bool
}

func (a *attempts) body(ctx context.Context) runBody {
	return runBody{
		RequestID: a.run.RequestID,
		Tenant:    a.run.Tenant,
		Key:       a.run.Key,
		KeyTime:   a.run.KeyTime.UTC().Format(time.RFC3339Nano),
		Body:      a.run.Body,
		Resend:    a.resend,
		TimeoutMs: callTime(ctx).Milliseconds(),
	}
}

func (a *attempts) take(answer *RunAnswer, err error) {
	a.calls++
	switch {
	case err != nil || answer.Outcome == Unknown:
		a.open = true
	case answer.EarlierCalls == earlierNone:
		a.open = false
	}
	if a.open {
		a.resend++
	}
}

func (a *attempts) isFinal(ctx context.Context, answer *RunAnswer, err error) bool {
	if err != nil {
		return false
	}
	return answer.Outcome == Answered || !mayWait(ctx, answer.RetryAfterMs)
}

func (a *attempts) result(answer *RunAnswer, err error) (*RunAnswer, error) {
	answer.Calls = a.calls
	if err == nil && answer.Outcome == Answered {
		return answer, nil
	}
	if a.open {
		answer.Outcome = Unknown
		answer.Key = a.run.Key
		return answer, nil
	}
	if answer.Field != "" {
		return nil, &RequestError{
			Field:  answer.Field,
			Reason: answer.Reason,
		}
	}
	return answer, nil
}

type queryBody struct {
	Query

	TimeoutMs int64 `json:"timeout-ms"`
}

type runBody struct {
	RequestID string `json:"request-id,omitempty"`
	Tenant    string `json:"tenant,omitempty"`
	Key       string `json:"key"`
	KeyTime   string `json:"key-time"`
	Body      string `json:"body"`
	Resend    int    `json:"resend"`
	TimeoutMs int64  `json:"timeout-ms"`
}

// post makes one call to the next entry instance.
func (c *Client) post(ctx context.Context, service, action string, body, answer any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTime(ctx)+grace)
	defer cancel()
	entry := c.entries[c.next.Add(1)%uint64(len(c.entries))]
	target := fmt.Sprintf("http://%s/v1/services/%s/%s", entry, url.PathEscape(service), action)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(encoded))
	if err != nil {
		return fmt.Errorf("ask %s: %w", entry, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("ask %s: %w", entry, err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return fmt.Errorf("answer of %s: %w", entry, err)
	}
	return decode(entry, content, answer)
}

// decode takes only what is an answer of this system: a balancer's own page is no answer.
func decode(entry string, content []byte, answer any) error {
	var known struct {
		Outcome string `json:"outcome"`
	}
	if err := json.Unmarshal(content, &known); err != nil {
		return fmt.Errorf("answer of %s: %w", entry, err)
	}
	switch known.Outcome {
	case Answered, NotRun, Unknown:
		return json.Unmarshal(content, answer)
	default:
		return fmt.Errorf("answer of %s: outcome %q is not known", entry, known.Outcome)
	}
}

func withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultTime)
}

// callTime returns how long the next call may take.
func callTime(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	left := time.Until(deadline)
	return max(min(leastCall, left), left/callShare, time.Millisecond)
}

// mayWait reports whether a time to come back was named, and lies before the context's end.
func mayWait(ctx context.Context, retryAfterMs int64) bool {
	deadline, _ := ctx.Deadline()
	wait := time.Duration(retryAfterMs) * time.Millisecond
	return wait > 0 && wait < time.Until(deadline)
}

func waitFor(err error, retryAfterMs int64) time.Duration {
	if err != nil {
		return lostPause
	}
	return time.Duration(retryAfterMs) * time.Millisecond
}

// pause waits, and reports whether there is time left.
func pause(ctx context.Context, wait time.Duration) bool {
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}
