package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/versioner"
	"pimentogate.example/pimentogate/internal/protocol/checker"
	"pimentogate.example/pimentogate/internal/protocol/parser"
)

const (
	clientsPerEntry     = 4
	repartitionedShards = 12
)

// verifiedLoad sends queries to each entry instance back to back until it is finished, and checks each answer against the data of the single index version that it names.
type verifiedLoad struct {
	fleet        *fleet
	manifests    map[uint64][]checker.Shard
	timeoutMs    int
	stop         chan struct{}
	clients      sync.WaitGroup
	full         atomic.Int64
	partial      atomic.Int64
	unanswered   atomic.Int64
	seenVersions sync.Map
	// outcomeCounts counts answers that were not answered or that state a reason, by outcome and reason.
	outcomeCounts sync.Map
}

func startVerifiedLoad(f *fleet, entries []*process, timeoutMs int, manifests map[uint64][]checker.Shard) *verifiedLoad {
	l := &verifiedLoad{
		fleet:     f,
		manifests: manifests,
		timeoutMs: timeoutMs,
		stop:      make(chan struct{}),
	}
	for _, e := range entries {
		for i := range clientsPerEntry {
			l.clients.Add(1)
			go l.run(e, i)
		}
	}
	return l
}

// finish stops the load and waits for its clients, and fails the test if no answer had full coverage.
func (l *verifiedLoad) finish() {
	close(l.stop)
	l.clients.Wait()
	l.fleet.t.Logf("answers: %d full, %d partial, %d not answered", l.full.Load(), l.partial.Load(), l.unanswered.Load())
	l.outcomeCounts.Range(func(key, count any) bool {
		l.fleet.t.Logf("%v: %d", key, count.(*atomic.Int64).Load())
		return true
	})
	if l.full.Load() == 0 {
		l.fleet.t.Errorf("no query was answered with full coverage")
	}
}

// run sends queries until the load is finished. All clients use the same request id. Even-numbered clients send the same query texts through every entry instance; odd-numbered ones append the entry instance's name, so that only clients of one instance share them.
func (l *verifiedLoad) run(e *process, client int) {
	defer l.clients.Done()
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		default:
		}
		text := fmt.Sprintf("query %d", n)
		if client%2 == 1 {
			text += e.name
		}
		var answer parser.QueryAnswer
		status := e.post("query", map[string]any{
			"request-id": "the same for all",
			"query":      text,
			"limit":      10,
			"timeout-ms": l.timeoutMs,
		}, &answer)
		l.check(text, answer, status)
	}
}

func (l *verifiedLoad) check(text string, answer parser.QueryAnswer, status int) {
	t := l.fleet.t
	if answer.Reason != "" || answer.Outcome != "answered" {
		count, _ := l.outcomeCounts.LoadOrStore(answer.Outcome+" "+answer.Reason, &atomic.Int64{})
		count.(*atomic.Int64).Add(1)
	}
	if answer.Outcome != "answered" {
		l.unanswered.Add(1)
		if len(answer.Rows) > 0 || answer.Coverage > 0 {
			t.Errorf("status %d: not answered, but contains data: %+v", status, answer)
		}
		return
	}
	l.seenVersions.Store(answer.IndexVersion, true)
	var shards []string
	var covered, total uint64
	for _, s := range l.manifests[answer.IndexVersion] {
		total += s.Weight
		if slices.Contains(answer.MissingShards, s.Shard) {
			continue
		}
		covered += s.Weight
		shards = append(shards, s.Shard)
	}
	if want := parser.CoverageFraction(versioner.Coverage(covered, total)); answer.Coverage != want {
		t.Errorf("coverage %v, want %v: %+v", answer.Coverage, want, answer)
	}
	if !slices.Equal(answer.Rows, expectedRows(shards, answer.IndexVersion, text)) {
		t.Errorf("%q: rows differ from version %d without %v: %+v", text, answer.IndexVersion, answer.MissingShards, answer.Rows)
	}
	if answer.RequestID != "the same for all" {
		t.Errorf("request id %q", answer.RequestID)
	}
	if len(answer.MissingShards) == 0 {
		l.full.Add(1)
		return
	}
	l.partial.Add(1)
}

// updateSwitches sets behavior switches of a stand-in upstream; switches not given keep their values.
func (p *process) updateSwitches(switches map[string]any) {
	p.t.Helper()
	encoded, err := json.Marshal(switches)
	must(p.t, err)
	response, err := http.Post("http://"+p.address+"/switches", "application/json", bytes.NewReader(encoded))
	must(p.t, err)
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		p.t.Fatalf("%s: switches %s: status %d", p.name, encoded, response.StatusCode)
	}
}

// heldVersion returns an index version of which the i-th stand-in holds one shard of the manifest.
func heldVersion(version uint64, manifest []checker.Shard, i int) checker.HeldVersion {
	return checker.HeldVersion{
		Version:  version,
		Manifest: manifest,
		Shards:   []string{manifest[i%len(manifest)].Shard},
	}
}

// TestVersionsUnderLoad replaces the index version repeatedly while queries run, repartitioning from 8 to 12 shards and back. Each answer must consist of the data of a single version.
func TestVersionsUnderLoad(t *testing.T) {
	for _, policy := range []string{"two-choices", "owner"} {
		t.Run(policy, func(t *testing.T) { checkVersionChanges(t, policy) })
	}
}

func checkVersionChanges(t *testing.T, policy string) {
	f := newFleet(t, topology{
		policy:   policy,
		controls: 1,
		entries:  4,
		zones:    2,
		shards:   8,
		replicas: 3,
		workMs:   3,
	})
	repartitioned := make([]checker.Shard, repartitionedShards)
	for i := range repartitioned {
		repartitioned[i] = checker.Shard{
			Shard:  shardName(i),
			Weight: uint64(100 - 7*i),
		}
	}
	names, err := json.Marshal(shardNames(repartitionedShards))
	must(t, err)
	f.applyIntent(fmt.Sprintf(`{"change-service": {"name": %q, "shards": %s, "coverage": 1, "timeout-ms": 1000}}`, service, names))
	manifests := map[uint64][]checker.Shard{
		1: f.manifest,
		2: repartitioned,
		3: f.manifest,
		4: repartitioned,
	}
	load := startVerifiedLoad(f, f.entries, 500, manifests)
	t.Run("rolling, both versions held at first", func(t *testing.T) {
		f.rollVersions(func(i int) []checker.HeldVersion {
			return []checker.HeldVersion{heldVersion(1, f.manifest, i), heldVersion(2, repartitioned, i)}
		})
		f.rollVersions(func(i int) []checker.HeldVersion { return []checker.HeldVersion{heldVersion(2, repartitioned, i)} })
		f.waitVersion(2)
	})
	t.Run("rolling, one version replaced by the other", func(t *testing.T) {
		f.rollVersions(func(i int) []checker.HeldVersion { return []checker.HeldVersion{heldVersion(3, f.manifest, i)} })
		f.waitVersion(3)
	})
	t.Run("all at once", func(t *testing.T) {
		for i, s := range f.standins {
			s.updateSwitches(map[string]any{
				"versions": []checker.HeldVersion{heldVersion(4, repartitioned, i)},
			})
		}
		f.waitVersion(4)
	})
	load.finish()
	for version := range manifests {
		if _, ok := load.seenVersions.Load(version); !ok {
			t.Errorf("no answer named version %d", version)
		}
	}
}

func (f *fleet) rollVersions(versionsOf func(i int) []checker.HeldVersion) {
	for i, s := range f.standins {
		s.updateSwitches(map[string]any{
			"versions": versionsOf(i),
		})
		time.Sleep(30 * time.Millisecond)
	}
}

// waitVersion waits until every entry instance answers from the version with full coverage.
func (f *fleet) waitVersion(version uint64) {
	f.t.Helper()
	for _, e := range f.entries {
		waitFor(f.t, 10*time.Second, fmt.Sprintf("%s answers from version %d with full coverage", e.name, version), func() bool {
			answer, _ := e.query("version", 500)
			return answer.IndexVersion == version && answer.Coverage == 1
		})
	}
}

// TestWrongReplies makes the stand-in upstreams send every kind of faulty reply at once, to callers with a long timeout and to callers whose timeout often expires.
func TestWrongReplies(t *testing.T) {
	for _, policy := range []string{"two-choices", "owner"} {
		t.Run(policy, func(t *testing.T) { checkWrongReplies(t, policy) })
	}
}

func checkWrongReplies(t *testing.T, policy string) {
	f := newFleet(t, topology{
		policy:   policy,
		controls: 1,
		entries:  4,
		zones:    2,
		shards:   4,
		replicas: 2,
		workMs:   3,
	})
	for _, s := range f.standins {
		s.updateSwitches(map[string]any{
			"work-sigma":             1,
			"wrong-version-share":    0.01,
			"other-attempt-share":    0.02,
			"cut-reply-share":        0.02,
			"drop-rows-share":        0.02,
			"repeat-rows-share":      0.1,
			"reply-past-cancel-ms":   5,
			"fail-after-start-share": 0.01,
		})
	}
	for _, timeoutMs := range []int{20, 500} {
		load := startVerifiedLoad(f, f.entries, timeoutMs, map[uint64][]checker.Shard{
			1: f.manifest,
		})
		time.Sleep(2 * time.Second)
		load.finish()
		if timeoutMs == 20 && load.partial.Load()+load.unanswered.Load() == 0 {
			t.Errorf("no query timed out with the short timeout")
		}
	}
}
