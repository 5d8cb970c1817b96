package launcher

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"pimentogate.example/pimentogate/internal/protocol/checker"
)

func TestRejectsBadCommandLines(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "control.json")
	content := `{"instance": "c", "zone": "a", "listen": "127.0.0.1:1", "data-folder": "x", "formation": {"seeds": ["127.0.0.1:1"]}, "platform": {"listen": "127.0.0.1:2", "listen-metrics": "127.0.0.1:3"}}`
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		arguments, wantError string
	}{
		{"", `role ""`},
		{"front", `role "front"`},
		{"entry -setting a", "flag provided but not defined"},
		{"entry -settings /no/such/file", `settings file "/no/such/file"`},
		{"control -settings " + path, "platform: this program has no platform support"},
	}
	for _, c := range cases {
		var out, errOut bytes.Buffer
		status := New(&out, &errOut, Platform{}).Run(strings.Fields(c.arguments))
		if status != ExitUsage || !strings.Contains(errOut.String(), c.wantError) {
			t.Errorf("%q: status %d, error %s", c.arguments, status, errOut.String())
		}
	}
}

// TestWatcherReloadsChangedFile checks that a changed file is applied without a signal, and that an invalid
// one is not. It guards against a change that is missed because it comes while the instance starts.
func TestWatcherReloadsChangedFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.json")
	write := func(level string, modTime time.Time) {
		content := `{"instance": "e", "zone": "a", "listen-callers": "127.0.0.1:1", "listen-readiness": "127.0.0.1:2", "listen-metrics": "127.0.0.1:3", "control-seeds": ["127.0.0.1:4"], "control-peers": "127.0.0.1:5", "log-level": "` + level + `"}`
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(path, modTime, modTime); err != nil {
			t.Fatal(err)
		}
	}
	start := time.Now().Add(-time.Hour)
	write("info", start)
	var mutex sync.Mutex
	var levels []string
	w := newWatcher(checker.ReadForwarder, nil)
	if _, err := w.read(path); err != nil {
		t.Fatal(err)
	}
	// The instance is still starting when its settings change.
	write("debug", start.Add(time.Second))
	w.start(func(settings *checker.ForwarderSettings) {
		mutex.Lock()
		defer mutex.Unlock()
		levels = append(levels, settings.LogLevel)
	}, logr.Discard())
	defer w.close()
	waitForApplied := func(want int) bool {
		deadline := time.Now().Add(3 * pollPeriod)
		for time.Now().Before(deadline) {
			mutex.Lock()
			got := len(levels)
			mutex.Unlock()
			if got >= want {
				return true
			}
			time.Sleep(10 * time.Millisecond)
		}
		return false
	}
	if !waitForApplied(1) {
		t.Error("the change during the start was not applied")
	}
	write("loud", start.Add(time.Minute))
	time.Sleep(pollPeriod + 200*time.Millisecond)
	write("info", start.Add(2*time.Minute))
	if !waitForApplied(2) || levels[0] != "debug" || levels[1] != "info" {
		t.Errorf("applied log levels %v, want debug and info only", levels)
	}
}
