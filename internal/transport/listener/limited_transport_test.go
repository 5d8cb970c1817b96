package listener

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
)

// prepared is a transport whose responses have this body.
type prepared string

func (p prepared) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{
		Body: io.NopCloser(iotest.HalfReader(strings.NewReader(string(p)))),
	}, nil
}

// TestLimitedTransport guards against a response that is cut off at its limit and looks whole, and against one of just that size that fails.
func TestLimitedTransport(t *testing.T) {
	const limit = 100
	for _, size := range []int{0, 1, limit - 1, limit, limit + 1, 10 * limit} {
		body := strings.Repeat("x", size)
		response, err := NewLimitedTransport(prepared(body), limit).RoundTrip(nil)
		if err != nil {
			t.Fatal(err)
		}
		content, err := io.ReadAll(response.Body)
		if isTooLarge := errors.Is(err, errResponseTooLarge); isTooLarge != (size > limit) || len(content) != min(size, limit) {
			t.Errorf("%d bytes: read %d, %v", size, len(content), err)
		}
		_ = response.Body.Close()
	}
}
