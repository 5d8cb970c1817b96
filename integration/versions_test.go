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
	askersPerEntry = 4
	wideShards     = 12
)

// askers ask every entry instance all the time, and check each answer against the one version it names.
type askers struct {
	fleet     *fleet
	manifests map[uint64][]checker.Shard
	timeoutMs int
	stop      chan struct{}
	group     sync.WaitGroup
	whole     atomic.Int64
	partial   atomic.Int64
	other     atomic.Int64
	versions  sync.Map
	// reasons counts the answers that are not whole.
	reasons sync.Map
}

func newAskers(f *fleet, entries []*process, timeoutMs int, manifests map[uint64][]checker.Shard) *askers {
	a := &askers{
		fleet:     f,
		manifests: manifests,
		timeoutMs: timeoutMs,
		stop:      make(chan struct{}),
	}
	for _, e := range entries {
		for i := range askersPerEntry {
			a.group.Add(1)
			go a.run(e, i)
		}
	}
	return a
}

// end stops asking, and fails the test where nothing was answered whole.
func (a *askers) end() {
	close(a.stop)
	a.group.Wait()
	a.fleet.t.Logf("answers: %d whole, %d partial, %d others", a.whole.Load(), a.partial.Load(), a.other.Load())
	a.reasons.Range(func(reason, count any) bool {
		a.fleet.t.Logf("%v: %d", reason, count.(*atomic.Int64).Load())
		return true
	})
	if a.whole.Load() == 0 {
		a.fleet.t.Errorf("nothing was answered whole")
	}
}

// run sends the same body twice from every second asker, and the same request id from every asker.
func (a *askers) run(e *process, i int) {
	defer a.group.Done()
	for n := 0; ; n++ {
		select {
		case <-a.stop:
			return
		default:
		}
		text := fmt.Sprintf("query %d", n)
		if i%2 == 1 {
			text += e.name
		}
		var answer parser.QueryAnswer
		status := e.post("query", map[string]any{
			"request-id": "the same for all",
			"query":      text,
			"limit":      10,
			"timeout-ms": a.timeoutMs,
		}, &answer)
		a.check(text, answer, status)
	}
}

func (a *askers) check(text string, answer parser.QueryAnswer, status int) {
	t := a.fleet.t
	if answer.Reason != "" || answer.Outcome != "answered" {
		count, _ := a.reasons.LoadOrStore(answer.Outcome+" "+answer.Reason, &atomic.Int64{})
		count.(*atomic.Int64).Add(1)
	}
	if answer.Outcome != "answered" {
		a.other.Add(1)
		if len(answer.Rows) > 0 || answer.Coverage > 0 {
			t.Errorf("status %d, not answered, but with data: %+v", status, answer)
		}
		return
	}
	a.versions.Store(answer.IndexVersion, true)
	var shards []string
	var covered, total uint64
	for _, s := range a.manifests[answer.IndexVersion] {
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
		a.whole.Add(1)
		return
	}
	a.partial.Add(1)
}

// turn changes switches of a stand-in; what is not given stays.
func (p *process) turn(switches map[string]any) {
	p.t.Helper()
	encoded, err := json.Marshal(switches)
	check(p.t, err)
	response, err := http.Post("http://"+p.address+"/switches", "application/json", bytes.NewReader(encoded))
	check(p.t, err)
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		p.t.Fatalf("%s: switches %s: status %d", p.name, encoded, response.StatusCode)
	}
}

// held is what the i-th stand-in holds of a version with that manifest.
func held(version uint64, manifest []checker.Shard, i int) checker.HeldVersion {
	return checker.HeldVersion{
		Version:  version,
		Manifest: manifest,
		Shards:   []string{manifest[i%len(manifest)].Shard},
	}
}

// TestVersionsUnderLoad changes the version, withdraws it, repartitions from 8 to 12 shards and back while queries run.
func TestVersionsUnderLoad(t *testing.T) {
	for _, policy := range []string{"two-choices", "owner"} {
		t.Run(policy, func(t *testing.T) { changeVersions(t, policy) })
	}
}

func changeVersions(t *testing.T, policy string) {
	f := newFleet(t, plan{
		policy:   policy,
		controls: 1,
		entries:  4,
		zones:    2,
		shards:   8,
		replicas: 3,
		workMs:   3,
	})
	wide := make([]checker.Shard, wideShards)
	for i := range wide {
		wide[i] = checker.Shard{
			Shard:  shardName(i),
			Weight: uint64(100 - 7*i),
		}
	}
	names, err := json.Marshal(shardNames(wideShards))
	check(t, err)
	f.change(fmt.Sprintf(`{"change-service": {"name": %q, "shards": %s, "coverage": 1, "timeout-ms": 1000}}`, service, names))
	manifests := map[uint64][]checker.Shard{
		1: f.manifest,
		2: wide,
		3: f.manifest,
		4: wide,
	}
	a := newAskers(f, f.entries, 500, manifests)
	t.Run("rolling, both held for a while", func(t *testing.T) {
		f.roll(func(i int) []checker.HeldVersion {
			return []checker.HeldVersion{held(1, f.manifest, i), held(2, wide, i)}
		})
		f.roll(func(i int) []checker.HeldVersion { return []checker.HeldVersion{held(2, wide, i)} })
		f.waitVersion(2)
	})
	t.Run("rolling, one given up for the other", func(t *testing.T) {
		f.roll(func(i int) []checker.HeldVersion { return []checker.HeldVersion{held(3, f.manifest, i)} })
		f.waitVersion(3)
	})
	t.Run("all at once", func(t *testing.T) {
		for i, s := range f.standins {
			s.turn(map[string]any{
				"versions": []checker.HeldVersion{held(4, wide, i)},
			})
		}
		f.waitVersion(4)
	})
	a.end()
	for version := range manifests {
		if _, ok := a.versions.Load(version); !ok {
			t.Errorf("no answer of version %d", version)
		}
	}
}

func (f *fleet) roll(holds func(i int) []checker.HeldVersion) {
	for i, s := range f.standins {
		s.turn(map[string]any{
			"versions": holds(i),
		})
		time.Sleep(30 * time.Millisecond)
	}
}

// waitVersion waits until every entry instance answers whole from the version.
func (f *fleet) waitVersion(version uint64) {
	f.t.Helper()
	for _, e := range f.entries {
		waitFor(f.t, 10*time.Second, fmt.Sprintf("%s answers version %d", e.name, version), func() bool {
			answer, _ := e.query("version", 500)
			return answer.IndexVersion == version && answer.Coverage == 1
		})
	}
}

// TestWrongReplies lets the stand-ins answer wrongly in every way at once, for callers that often time out.
func TestWrongReplies(t *testing.T) {
	for _, policy := range []string{"two-choices", "owner"} {
		t.Run(policy, func(t *testing.T) { checkWrongReplies(t, policy) })
	}
}

func checkWrongReplies(t *testing.T, policy string) {
	f := newFleet(t, plan{
		policy:   policy,
		controls: 1,
		entries:  4,
		zones:    2,
		shards:   4,
		replicas: 2,
		workMs:   3,
	})
	for _, s := range f.standins {
		s.turn(map[string]any{
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
		a := newAskers(f, f.entries, timeoutMs, map[uint64][]checker.Shard{
			1: f.manifest,
		})
		time.Sleep(2 * time.Second)
		a.end()
		if timeoutMs == 20 && a.partial.Load()+a.other.Load() == 0 {
			t.Errorf("no query ran out of time")
		}
	}
}
