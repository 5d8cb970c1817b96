package gateway

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/goleak"

	"pimentogate.example/pimentogate/internal/protocol/checker"
)

// TestShutdownStopsAllGoroutines shuts down an entry instance that never reached a control instance or a peer, and checks
// that no goroutine is left.
func TestShutdownStopsAllGoroutines(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	g, err := New(&checker.EntrySettings{
		Instance:      "entry",
		Zone:          "zone",
		ListenCallers: "127.0.0.1:0",
		ListenPeers:   "127.0.0.1:0",
		Control:       []string{"127.0.0.1:1"},
		Peers:         []string{"127.0.0.1:1"},
	}, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * gossipPeriod)
	client := &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	url := "http://" + g.CallersAddress() + "/v1/services/s/query"
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(`{"query":"x","timeout-ms":10}`))
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("without a configuration: status %d, headers %v, want status 503 and Retry-After", response.StatusCode, response.Header)
	}
	if err := g.Shutdown(context.Background()); err != nil {
		t.Error(err)
	}
}
