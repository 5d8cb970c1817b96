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
	a, err := assembler.Start(t.Context(), assembler.Config{
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
		{`{"declare-service": {"name": ""}}`, "declare-service.name"},
		{`{"declare-service": {"name": "a", "shards": []}}`, "declare-service.shards"},
		{`{"declare-service": {"name": "a", "shards": ["x", "x"], "coverage": 1, "timeout-ms": 1}}`, "shards"},
		{`{"declare-service": {"name": "a", "shards": ["x"], "coverage": 1.000001, "timeout-ms": 1}}`, "coverage"},
		{`{"change-service": {"name": "nobody", "shards": ["x"], "coverage": 1, "timeout-ms": 1}}`, "nobody"},
		{`{"set-tenant-limit": {"tenant": ""}}`, "set-tenant-limit.tenant"},
		{`{"set-moon": {}}`, "set-moon"},
		{`{"declare-service": {"name": 5}}`, "declare-service.name"},
		{`{`, "intent.json"},
	}
	path := filepath.Join(t.TempDir(), "intent.json")
	call("plan", "-control", a.ControlAddresses()[0], path)
	for _, c := range cases {
		if err := os.WriteFile(path, []byte(c.intent), 0o600); err != nil {
			t.Fatal(err)
		}
		started := time.Now()
		status, out, errOut := call("plan", "-control", a.ControlAddresses()[0], path)
		if status != ExitUsage || out != "" || !strings.Contains(errOut, c.want) {
			t.Errorf("%s: exit status %d, want %d: %s%s", c.intent, status, ExitUsage, out, errOut)
		}
		if took := time.Since(started); took >= operatorTimeout {
			t.Errorf("%s: refused after %s", c.intent, took)
		}
	}
}
