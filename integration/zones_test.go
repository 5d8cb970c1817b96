package integration

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"
)

// refusalLimit is how fast a run is refused while control can't be reached.
const refusalLimit = 100 * time.Millisecond

func TestCutZones(t *testing.T) {
	f := newFleet(t, plan{
		controls: 3,
		entries:  4,
		zones:    4,
		shards:   2,
		replicas: 4,
		links:    true,
	})
	keyTime := time.Now()
	if answer, _ := f.entries[0].run("before the cut", keyTime); answer.Outcome != "answered" {
		t.Fatalf("before the cut: %+v", answer)
	}
	f.cutZones()
	for i, e := range f.entries {
		t.Run(e.zone+" alone", func(t *testing.T) { checkAlone(t, f, e, shardName(i%2), keyTime) })
	}
	f.healZones()
	for i, e := range f.entries {
		waitFor(t, readyLimit, e.name+" is whole again", func() bool {
			answer, _ := e.query("healed", 500)
			return answer.Coverage == 1 && answer.ConfigConfirmed && answer.ConfigRevision == 1
		})
		waitFor(t, readyLimit, e.name+" runs again", func() bool {
			answer, _ := e.run(fmt.Sprintf("healed-%d", i), keyTime)
			return answer.Outcome == "answered"
		})
		answer, _ := e.run("before the cut", keyTime)
		if answer.Outcome != "answered" || !answer.Repeated || f.runsOf("before the cut") != 1 {
			t.Errorf("%s: the run before the cut: %+v, started %d times", e.name, answer, f.runsOf("before the cut"))
		}
	}
}

// checkAlone expects the zone to answer with its own shard, to say so, and to refuse runs at once.
func checkAlone(t *testing.T, f *fleet, e *process, held string, keyTime time.Time) {
	want := 1.0 / 3
	if held == shardName(1) {
		want = 2.0 / 3
	}
	waitFor(t, 10*time.Second, "the zone's own coverage", func() bool {
		answer, status := e.query("alone", 500)
		return status == http.StatusOK && !answer.ConfigConfirmed && answer.Coverage < want && answer.Coverage > want-0.00001
	})
	for range 20 {
		answer, _ := e.query("alone", 500)
		if answer.Coverage > want || slices.Contains(answer.MissingShards, held) || len(answer.MissingShards) != 1 || answer.CoverageMet {
			t.Errorf("%s alone: %+v", e.zone, answer)
		}
	}
	key := "alone in " + e.zone
	started := time.Now()
	answer, _ := e.run(key, keyTime)
	if took := time.Since(started); answer.Outcome != "not-run" || answer.RetryAfterMs == 0 || took > refusalLimit || f.runsOf(key) != 0 {
		t.Errorf("%s: run alone: %+v after %s, started %d times", e.zone, answer, took, f.runsOf(key))
	}
}

// TestRestartKeepsRevision restarts an entry instance whose only reachable peer holds an older revision than it had.
func TestRestartKeepsRevision(t *testing.T) {
	f := newFleet(t, plan{
		controls: 3,
		entries:  2,
		zones:    1,
		shards:   1,
		replicas: 2,
		links:    true,
	})
	restarted, peer := f.entries[0], f.entries[1]
	for _, c := range f.controls {
		f.cut(peer.name, c.name)
	}
	f.cut(peer.name, restarted.name)
	f.change(`{"set-tenant-limit": {"tenant": "t", "requests-per-second": 100, "burst": 10}}`)
	waitFor(t, readyLimit, "the newer revision", func() bool {
		answer, _ := restarted.query("newer", 500)
		return answer.ConfigRevision == 2
	})
	// The peer hears of the revision, and can't fetch it.
	time.Sleep(time.Second)
	restarted.kill()
	for _, c := range f.controls {
		f.cut(restarted.name, c.name)
	}
	restarted.start()
	waitFor(t, readyLimit, "it listens", func() bool {
		_, status := restarted.query("older", 500)
		return status != 0
	})
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if answer, status := restarted.query("older", 500); status == http.StatusOK || answer.Outcome != "not-run" || answer.RetryAfterMs == 0 {
			t.Fatalf("served at revision %d: status %d, %+v", answer.ConfigRevision, status, answer)
		}
	}
	if answer, _ := peer.query("older", 500); answer.ConfigRevision != 1 || answer.ConfigConfirmed {
		t.Errorf("the peer: %+v", answer)
	}
	for _, c := range f.controls {
		f.heal(restarted.name, c.name)
	}
	waitFor(t, readyLimit, "its revision again", func() bool {
		answer, _ := restarted.query("newer", 500)
		return answer.ConfigRevision == 2
	})
}
