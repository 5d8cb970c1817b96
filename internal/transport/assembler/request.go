package assembler

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// Answer is an entry instance's response to a request: the decoded outcome fields, the HTTP status and the raw body.
type Answer struct {
	Outcome       string   `json:"outcome"`
	Reason        string   `json:"reason"`
	Coverage      float64  `json:"coverage"`
	CoverageMet   bool     `json:"coverage-met"`
	MissingShards []string `json:"missing-shards"`
	RetryAfterMs  int64    `json:"retry-after-ms"`
	Status        int      `json:"-"`
	Body          []byte   `json:"-"`
}

// maxAnswerBytes limits an answer; a longer one can't be decoded.
const maxAnswerBytes = 16 << 20

// SendRequest sends one request to an entry instance and decodes the answer; the action is query or run.
func SendRequest(ctx context.Context, client *http.Client, address, service, action, body string) (*Answer, error) {
	url := fmt.Sprintf("http://%s/v1/services/%s/%s", address, service, action)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
	defer response.Body.Close()
	answer := &Answer{
		Status: response.StatusCode,
	}
	if answer.Body, err = io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes)); err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if err := json.Unmarshal(answer.Body, answer); err != nil {
		return nil, fmt.Errorf("decode answer: %w", err)
	}
	return answer, nil
}
