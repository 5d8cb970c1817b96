package operator

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const entryLog = `  12.5 entry-1 {"time":"2026-09-10T12:00:01.2Z","level":"INFO","msg":"configuration in force","instance":"entry-1","version":7,"before":6}
  12.6 entry-1 {"time":"2026-09-10T12:00:02.3Z","level":"INFO","msg":"attempt","instance":"entry-1","zone":"a","request":"r-1","service":"s1","replica":"i-1","outcome":"broken","cause":"timeout","took-ms":61.5}
not a line of a log
  12.6 entry-1 {"time":"2026-09-10T12:00:02.2Z","level":"INFO","msg":"request","instance":"entry-1","zone":"a","request":"r-1","route":"all","outcome":"gathered","reason":"cut-at-target","missing":1}
  12.6 entry-1 {"time":"2026-09-10T12:00:02.2Z","level":"INFO","msg":"request","instance":"entry-1","zone":"a","request":"r-2","route":"all"}
  19.6 entry-1 {"time":"2026-09-10T12:00:09.2Z","level":"INFO","msg":"control instance lost","instance":"entry-1","zone":"a"}
`

const otherLog = `{"time":"2026-09-10T12:00:02.25Z","level":"INFO","msg":"replica changed","instance":"entry-2","replica":"i-1","state":"LOST"}
{"time":"2026-09-10T12:00:02.1Z","level":"INFO","msg":"attempt","instance":"entry-3","request":"r-1","replica":"i-2","outcome":"replied"}
`

func TestTrace(t *testing.T) {
	folder := t.TempDir()
	first, second := filepath.Join(folder, "entry.log"), filepath.Join(folder, "other.log")
	for path, content := range map[string]string{first: entryLog, second: otherLog} {
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	status, stdout, stderr := runCommand("trace", "r-1", first, second)
	if status != ExitSuccess || stderr != "" {
		t.Fatalf("exit status %d: %s", status, stderr)
	}
	goldie.New(t).Assert(t, "trace", []byte(stdout))
	if status, _, stderr := runCommand("trace", "r-9", first); status != ExitFailure || !strings.Contains(stderr, `"r-9"`) {
		t.Errorf("request without log lines: exit status %d: %s", status, stderr)
	}
	if status, _, stderr := runCommand("trace", "r-1"); status != ExitUsage || !strings.Contains(stderr, "log files") {
		t.Errorf("no log files given: exit status %d: %s", status, stderr)
	}
}
