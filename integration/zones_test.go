package integration

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"
)

// maxRefusalTime bounds the time until a run is refused while control is unreachable.
const maxRefusalTime = 100 * time.Millisecond

func TestCutZones(t *testing.T) {
	f := newFleet(t, topology{
		controls: 3,
		entries:  4,
		zones:    4,
		shards:   2,
		replicas: 4,
		proxied:  true,
	})
	keyTime := time.Now()
	if answer, _ := f.entries[0].run("before the cut", keyTime); answer.Outcome != "answered" {
		t.Fatalf("run before the cut: %+v, want answered", answer)
	}
	f.cutZoneLinks()
	for i, e := range f.entries {
		t.Run(e.zone+" alone", func(t *testing.T) { checkIsolatedZone(t, f, e, shardName(i%2), keyTime) })
	}
	f.healZoneLinks()
	for i, e := range f.entries {
		waitFor(t, readyTimeout, e.name+" has full coverage and a confirmed configuration again", func() bool {
			answer, _ := e.query("healed", 500)
			return answer.Coverage == 1 && answer.ConfigConfirmed && answer.ConfigRevision == 1
		})
		waitFor(t, readyTimeout, e.name+" accepts runs again", func() bool {
			answer, _ := e.run(fmt.Sprintf("healed-%d", i), keyTime)
			return answer.Outcome == "answered"
		})
		answer, _ := e.run("before the cut", keyTime)
		if answer.Outcome != "answered" || !answer.Repeated || f.countStarts("before the cut") != 1 {
			t.Errorf("%s: resend of the run before the cut: %+v, started %d times, want it answered, repeated and started once", e.name, answer, f.countStarts("before the cut"))
		}
	}
}

// checkIsolatedZone checks that a zone cut off from the others answers queries from its own shard, reports the reduced coverage and the unconfirmed configuration, and refuses runs within maxRefusalTime.
func checkIsolatedZone(t *testing.T, f *fleet, e *process, heldShard string, keyTime time.Time) {
	want := 1.0 / 3
	if heldShard == shardName(1) {
		want = 2.0 / 3
	}
	waitFor(t, 10*time.Second, "the coverage is that of the zone's own shard", func() bool {
		answer, status := e.query("alone", 500)
		return status == http.StatusOK && !answer.ConfigConfirmed && answer.Coverage < want && answer.Coverage > want-0.00001
	})
	for range 20 {
		answer, _ := e.query("alone", 500)
		if answer.Coverage > want || slices.Contains(answer.MissingShards, heldShard) || len(answer.MissingShards) != 1 || answer.CoverageMet {
			t.Errorf("%s cut off: %+v, want only the other shard missing and the required coverage not met", e.zone, answer)
		}
	}
	key := "alone in " + e.zone
	started := time.Now()
	answer, _ := e.run(key, keyTime)
	if elapsed := time.Since(started); answer.Outcome != "not-run" || answer.RetryAfterMs == 0 || elapsed > maxRefusalTime || f.countStarts(key) != 0 {
		t.Errorf("%s cut off: run got %+v after %s, started %d times, want not-run with a retry delay", e.zone, answer, elapsed, f.countStarts(key))
	}
}

// TestRestartKeepsRevision restarts an entry instance whose only reachable peer holds an older revision than the instance had. The instance must refuse requests rather than serve the older revision.
func TestRestartKeepsRevision(t *testing.T) {
	f := newFleet(t, topology{
		controls: 3,
		entries:  2,
		zones:    1,
		shards:   1,
		replicas: 2,
		proxied:  true,
	})
	restarted, peer := f.entries[0], f.entries[1]
	for _, c := range f.controls {
		f.cutLink(peer.name, c.name)
	}
	f.cutLink(peer.name, restarted.name)
	f.applyIntent(`{"set-tenant-limit": {"tenant": "t", "requests-per-second": 100, "burst": 10}}`)
	waitFor(t, readyTimeout, "the newer revision is in force", func() bool {
		answer, _ := restarted.query("newer", 500)
		return answer.ConfigRevision == 2
	})
	// Leaves time for the peer to learn that the revision exists; it cannot fetch it.
	time.Sleep(time.Second)
	restarted.kill()
	for _, c := range f.controls {
		f.cutLink(restarted.name, c.name)
	}
	restarted.start()
	waitFor(t, readyTimeout, "the restarted instance listens", func() bool {
		_, status := restarted.query("older", 500)
		return status != 0
	})
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if answer, status := restarted.query("older", 500); status == http.StatusOK || answer.Outcome != "not-run" || answer.RetryAfterMs == 0 {
			t.Fatalf("served at revision %d: status %d, %+v", answer.ConfigRevision, status, answer)
		}
	}
	if answer, _ := peer.query("older", 500); answer.ConfigRevision != 1 || answer.ConfigConfirmed {
		t.Errorf("peer: %+v, want revision 1 unconfirmed", answer)
	}
	for _, c := range f.controls {
		f.healLink(restarted.name, c.name)
	}
	waitFor(t, readyTimeout, "the newer revision is in force again", func() bool {
		answer, _ := restarted.query("newer", 500)
		return answer.ConfigRevision == 2
	})
}
