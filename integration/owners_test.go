package integration

import (
	"os"
	"strings"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/protocol/checker"
)

// TestOwnerLost kills, freezes and thaws an entry instance that owns replicas; every query of the others is answered whole.
func TestOwnerLost(t *testing.T) {
	f := newFleet(t, plan{
		controls: 1,
		entries:  4,
		zones:    1,
		shards:   8,
		replicas: 2,
		workMs:   3,
		policy:   "owner",
	})
	last := f.entries[3]
	forwarded := func() bool { return strings.Contains(f.entries[0].logged(), `"owner":"`+last.name+`"`) }
	a := newAskers(f, f.entries[:3], 1000, map[uint64][]checker.Shard{
		1: f.manifest,
	})
	waitFor(t, 10*time.Second, "sub-requests are forwarded", forwarded)
	for _, trouble := range []func(){last.freeze, last.thaw, last.kill} {
		trouble()
		time.Sleep(3 * time.Second)
	}
	a.end()
	if a.partial.Load()+a.other.Load() > 0 {
		t.Errorf("%d partial answers, %d others", a.partial.Load(), a.other.Load())
	}
}

// logged returns what the process has logged.
func (p *process) logged() string {
	content, err := os.ReadFile(p.log)
	check(p.t, err)
	return string(content)
}
