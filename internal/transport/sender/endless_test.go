package sender

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"pimentogate.example/pimentogate/pkg/wire"
)

// TestEndlessSearchResponse guards against an upstream whose response to a search, or whose report of an error, has no end and fills the memory.
func TestEndlessSearchResponse(t *testing.T) {
	const (
		timeout = 20 * time.Second
		// socketBytes is how much of a response the sockets and the flow control may hold beside what was read.
		socketBytes = 16 << 20
	)
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		for _, contentType := range []string{"application/proto", "application/json"} {
			var sent atomic.Int64
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", contentType)
				w.WriteHeader(status)
				chunk := bytes.Repeat([]byte(" "), 64<<10)
				for {
					n, err := w.Write(chunk)
					if sent.Add(int64(n)); err != nil || sent.Load() > 8*maxSearchResponse {
						return
					}
				}
			}))
			server.Config.Protocols = &http.Protocols{}
			server.Config.Protocols.SetUnencryptedHTTP2(true)
			server.Start()
			results := make(chan Result, 1)
			s := New(results, func(context.Context, string) int { return 2 })
			s.Search(server.Listener.Addr().String(), &wire.SearchRequest{
				Attempt: 1,
			}, time.Now().Add(timeout))
			started := time.Now()
			result := <-results
			if result.Err == nil || time.Since(started) > timeout/2 {
				t.Errorf("%d, %s: %v after %s", status, contentType, result.Err, time.Since(started))
			}
			s.Close()
			server.Close()
			if got := sent.Load(); got > maxSearchResponse+socketBytes {
				t.Errorf("%d, %s: %d bytes sent, want at most %d", status, contentType, got, maxSearchResponse)
			}
		}
	}
}
