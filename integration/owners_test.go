package integration

import (
	"os"
	"strings"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/protocol/checker"
)

// TestOwnerLost freezes, thaws and kills an entry instance that owns replicas. The other entry instances must answer every query with full coverage.
func TestOwnerLost(t *testing.T) {
	f := newFleet(t, topology{
		controls: 1,
		entries:  4,
		zones:    1,
		shards:   8,
		replicas: 2,
		workMs:   3,
		policy:   "owner",
	})
	owner := f.entries[3]
	hasForwarded := func() bool { return strings.Contains(f.entries[0].readLog(), `"owner":"`+owner.name+`"`) }
	load := startVerifiedLoad(f, f.entries[:3], 1000, map[uint64][]checker.Shard{
		1: f.manifest,
	})
	waitFor(t, 10*time.Second, "sub-requests are forwarded", hasForwarded)
	for _, injectFault := range []func(){owner.freeze, owner.thaw, owner.kill} {
		injectFault()
		time.Sleep(3 * time.Second)
	}
	load.finish()
	if load.partial.Load()+load.unanswered.Load() > 0 {
		t.Errorf("%d partial answers and %d queries not answered, want 0", load.partial.Load(), load.unanswered.Load())
	}
}

// readLog returns the content of the process's log file.
func (p *process) readLog() string {
	content, err := os.ReadFile(p.logPath)
	must(p.t, err)
	return string(content)
}
