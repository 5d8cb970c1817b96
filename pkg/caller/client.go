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
	// callTimeDivisor divides the remaining time to get the timeout of one call, so that an unresponsive entry instance leaves time to call another.
	callTimeDivisor = 2
	minCallTimeout  = 50 * time.Millisecond
	// responseGrace is how long after the timeout of a call its response is still awaited.
	responseGrace     = 50 * time.Millisecond
	failedCallBackoff = 20 * time.Millisecond
	defaultTimeout    = 10 * time.Second
	maxResponseBytes  = 64 << 20

	earlierCallsNone = "none"
)

// Client calls the entry instances in round-robin order; it is safe for concurrent use.
type Client struct {
	httpClient *http.Client
	entries    []string
	nextEntry  atomic.Uint64
}

// New returns a client of the entry instances at the addresses, or of a load balancer in front of them.
func New(client *http.Client, entries []string) *Client {
	return &Client{
		httpClient: client,
		entries:    entries,
	}
}

// Query runs a search. It retries it after a failed call, and after a response that names a retry delay which ends before the deadline of the context.
func (c *Client) Query(ctx context.Context, service string, query Query) (*QueryAnswer, error) {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	var lastErr error
	for calls := 1; ; calls++ {
		answer := &QueryAnswer{}
		err := c.post(ctx, service, "query", queryBody{
			Query:     query,
			TimeoutMs: callTimeout(ctx).Milliseconds(),
		}, answer)
		if err == nil && answer.Field != "" {
			return nil, &RequestError{
				Field:  answer.Field,
				Reason: answer.Reason,
			}
		}
		if err == nil && !canRetry(ctx, answer.RetryAfterMs) {
			return answer, nil
		}
		lastErr = err
		if !sleep(ctx, retryDelay(err, answer.RetryAfterMs)) {
			return nil, &NoAnswerError{
				Calls: calls,
				Last:  lastErr,
			}
		}
	}
}

// Run sends a non-idempotent request, and retries it under its key until its outcome is known or the context ends; it returns NotRun only if none of its calls has run or can still run.
func (c *Client) Run(ctx context.Context, service string, run Run) (*RunAnswer, error) {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	s := &runState{
		run: run,
	}
	for {
		answer := &RunAnswer{}
		err := c.post(ctx, service, "run", s.requestBody(ctx), answer)
		s.recordCall(answer, err)
		if s.isFinal(ctx, answer, err) || !sleep(ctx, retryDelay(err, answer.RetryAfterMs)) {
			return s.result(answer, err)
		}
	}
}

// runState tracks the calls made for one non-idempotent request.
type runState struct {
	run   Run
	calls int
	// resends is the resend number of the next call. It increases after each call while that call or an earlier one may have run, so that the journal rejects the earlier ones from then on.
	resends int
	// mayHaveRun is set if a call may have run and its outcome is unknown.
	mayHaveRun bool
}

func (s *runState) requestBody(ctx context.Context) runBody {
	return runBody{
		RequestID: s.run.RequestID,
		Tenant:    s.run.Tenant,
		Key:       s.run.Key,
		KeyTime:   s.run.KeyTime.UTC().Format(time.RFC3339Nano),
		Body:      s.run.Body,
		Resend:    s.resends,
		TimeoutMs: callTimeout(ctx).Milliseconds(),
	}
}

// recordCall updates the state with the result of a call; an answer that no earlier call has run clears mayHaveRun.
func (s *runState) recordCall(answer *RunAnswer, err error) {
	s.calls++
	switch {
	case err != nil || answer.Outcome == Unknown:
		s.mayHaveRun = true
	case answer.EarlierCalls == earlierCallsNone:
		s.mayHaveRun = false
	}
	if s.mayHaveRun {
		s.resends++
	}
}

// isFinal reports whether the request has run, or the last answer allows no retry before the deadline. A failed call is never final.
func (s *runState) isFinal(ctx context.Context, answer *RunAnswer, err error) bool {
	if err != nil {
		return false
	}
	return answer.Outcome == Answered || !canRetry(ctx, answer.RetryAfterMs)
}

// result returns the answer of the last call, with the outcome Unknown if a call may have run.
func (s *runState) result(answer *RunAnswer, err error) (*RunAnswer, error) {
	answer.Calls = s.calls
	if err == nil && answer.Outcome == Answered {
		return answer, nil
	}
	if s.mayHaveRun {
		answer.Outcome = Unknown
		answer.Key = s.run.Key
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

// post sends one request to the next entry instance and decodes the response.
func (c *Client) post(ctx context.Context, service, action string, body, answer any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout(ctx)+responseGrace)
	defer cancel()
	entry := c.entries[c.nextEntry.Add(1)%uint64(len(c.entries))]
	target := fmt.Sprintf("http://%s/v1/services/%s/%s", entry, url.PathEscape(service), action)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(encoded))
	if err != nil {
		return fmt.Errorf("call %s: %w", entry, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.httpClient.Do(request)
	if err != nil {
		return fmt.Errorf("call %s: %w", entry, err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("response of %s: %w", entry, err)
	}
	return decode(entry, content, answer)
}

// decode accepts only responses of entry instances, and rejects others, such as an error page of a load balancer.
func decode(entry string, content []byte, answer any) error {
	var envelope struct {
		Outcome string `json:"outcome"`
	}
	if err := json.Unmarshal(content, &envelope); err != nil {
		return fmt.Errorf("response of %s: %w", entry, err)
	}
	switch envelope.Outcome {
	case Answered, NotRun, Unknown:
		return json.Unmarshal(content, answer)
	default:
		return fmt.Errorf("response of %s: unknown outcome %q", entry, envelope.Outcome)
	}
}

// withDeadline returns the context with the default timeout if it has no deadline.
func withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultTimeout)
}

// callTimeout returns the timeout of the next call.
func callTimeout(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	remaining := time.Until(deadline)
	return max(min(minCallTimeout, remaining), remaining/callTimeDivisor, time.Millisecond)
}

// canRetry reports whether the response names a retry delay that ends before the deadline of the context.
func canRetry(ctx context.Context, retryAfterMs int64) bool {
	deadline, _ := ctx.Deadline()
	delay := time.Duration(retryAfterMs) * time.Millisecond
	return delay > 0 && delay < time.Until(deadline)
}

// retryDelay returns the delay before the next call, after an error or a response with a retry delay.
func retryDelay(err error, retryAfterMs int64) time.Duration {
	if err != nil {
		return failedCallBackoff
	}
	return time.Duration(retryAfterMs) * time.Millisecond
}

// sleep waits for the delay, and reports whether it passed before the context ended.
func sleep(ctx context.Context, delay time.Duration) bool {
	select {
	case <-time.After(delay):
		return true
	case <-ctx.Done():
		return false
	}
}
