package reporter

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestOwnMetricsComeFirst checks that a truncated response still holds the metrics of the instance.
func TestOwnMetricsComeFirst(t *testing.T) {
	r := New()
	r.Scope.Gauge("journal_votes").Update(4)
	r.Close()
	recorder := httptest.NewRecorder()
	r.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	body := recorder.Body.String()
	own := strings.Index(body, "pimentogate_journal_votes 4")
	runtime := strings.Index(body, "go_goroutines")
	if own < 0 || runtime < 0 || own > runtime {
		t.Errorf("metric of the instance at byte %d, of the runtime at byte %d", own, runtime)
	}
}
