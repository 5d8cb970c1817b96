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

// TestInvalidIntents checks that plan rejects invalid intents at once, with exit status 2 and the name of the field.
func TestInvalidIntents(t *testing.T) {
	cluster, err := assembler.Start(t.Context(), assembler.Config{
		Controls: 1,
		Log:      logr.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Close()
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
	runCommand("plan", "-control", cluster.ControlAddresses()[0], path)
	for _, c := range cases {
		if err := os.WriteFile(path, []byte(c.intent), 0o600); err != nil {
			t.Fatal(err)
		}
		started := time.Now()
		status, stdout, stderr := runCommand("plan", "-control", cluster.ControlAddresses()[0], path)
		if status != ExitUsage || stdout != "" || !strings.Contains(stderr, c.want) {
			t.Errorf("%s: exit status %d, want %d: %s%s", c.intent, status, ExitUsage, stdout, stderr)
		}
		if elapsed := time.Since(started); elapsed >= controlTimeout {
			t.Errorf("%s: rejected after %s", c.intent, elapsed)
		}
	}
}
