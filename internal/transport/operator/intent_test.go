package operator

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"pimentogate.example/pimentogate/internal/transport/assembler"
)

// TestWrongIntents asks for plans that can't be made: each is refused at once with status 2 and the field's name.
func TestWrongIntents(t *testing.T) {
	a, err := assembler.Start(t.Context(), assembler.Plan{
		Controls: 1,
		Log:      logr.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	cases := []struct {
		intent string
		want   string
	}{
		{`{"declareService": {"name": ""}}`, "name"},
		{`{"declareService": {"name": "a", "shards": []}}`, "shards"},
		{`{"declareService": {"name": "a", "shards": ["x", "x"], "coverageMillionths": 1, "timeoutMs": 1}}`, "shards"},
		{`{"declareService": {"name": "a", "shards": ["x"], "coverageMillionths": 1000001, "timeoutMs": 1}}`, "coverage"},
		{`{"changeService": {"name": "nobody", "shards": ["x"], "coverageMillionths": 1, "timeoutMs": 1}}`, "nobody"},
		{`{"setTenantLimit": {"tenant": ""}}`, "tenant"},
		{`{"setMoon": {}}`, "setMoon"},
		{`{"declareService": {"name": 5}}`, "name"},
		{`{`, "intent.json"},
	}
	path := filepath.Join(t.TempDir(), "intent.json")
	call("plan", "-control", a.Controls()[0], path)
	for _, c := range cases {
		if err := os.WriteFile(path, []byte(c.intent), 0o600); err != nil {
			t.Fatal(err)
		}
		started := time.Now()
		status, out, errOut := call("plan", "-control", a.Controls()[0], path)
		if status != ExitUsage || out != "" || !strings.Contains(errOut, c.want) {
			t.Errorf("%s: exit status %d, want %d: %s%s", c.intent, status, ExitUsage, out, errOut)
		}
		if took := time.Since(started); took >= operatorTimeout {
			t.Errorf("%s: refused after %s", c.intent, took)
		}
	}
}
