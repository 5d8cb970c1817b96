package loader

import (
	"encoding/json"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/transport/assembler"
)

func TestScheduleIsSeededPoisson(t *testing.T) {
	const arrivals, perSecond = 20_000, 500.0
	a, b, otherSeed := NewSchedule(1, perSecond), NewSchedule(1, perSecond), NewSchedule(2, perSecond)
	var last, sumOfSquares float64
	differ := false
	for range arrivals {
		at := a.Next()
		if at != b.Next() {
			t.Fatal("the same seed gave different arrivals")
		}
		differ = differ || at != otherSeed.Next()
		gap := at.Seconds() - last
		last = at.Seconds()
		sumOfSquares += gap * gap
	}
	mean := last / arrivals
	if !differ || math.Abs(mean*perSecond-1) > 0.05 {
		t.Errorf("mean gap %v s at %v per second; other seeds differ: %v", mean, perSecond, differ)
	}
	// The gaps of a Poisson process have a standard deviation equal to their mean.
	if relativeVariance := sumOfSquares/arrivals/(mean*mean) - 1; math.Abs(relativeVariance-1) > 0.1 {
		t.Errorf("variance of the gaps is %v of the squared mean", relativeVariance)
	}
}

func TestMeasurerCountsFromIntendedSendTime(t *testing.T) {
	m := newMeasurer(4)
	fullAnswer := &assembler.Answer{Status: http.StatusOK, Outcome: "answered", Coverage: 1, CoverageMet: true}
	partialAnswer := &assembler.Answer{Status: http.StatusOK, Outcome: "answered", Coverage: 0.5, MissingShards: []string{"a", "b"}}
	refused := &assembler.Answer{Status: http.StatusServiceUnavailable, Outcome: "not-run", Reason: "overload", RetryAfterMs: 100}
	unknown := &assembler.Answer{Status: http.StatusGatewayTimeout, Outcome: "unknown", Reason: "deadline"}
	m.recordAnswer(10*time.Millisecond, 0, fullAnswer, nil)
	m.recordAnswer(20*time.Millisecond, 8*time.Millisecond, partialAnswer, nil)
	m.recordAnswer(time.Millisecond, 0, refused, nil)
	m.recordAnswer(3*time.Second, 0, unknown, nil)
	m.recordAnswer(5*time.Second, 0, nil, http.ErrServerClosed)
	var r Result
	m.fillResult(&r, 2*time.Second)
	if r.Sent != 5 || r.Answered != 2 || r.CoverageMet != 1 || r.AnsweredPerSecond != 1 || r.Coverage != 0.75 || r.SubRequestsNeeded != 6 || r.Failures != 1 {
		t.Errorf("counts: %+v", r)
	}
	if r.Refused["not-run/overload"] != 1 || r.Refused["unknown/deadline"] != 1 || r.RefusedWithoutRetryAfter != 1 || r.RefusalP99Ms > 1.1 {
		t.Errorf("refusals: %+v", r)
	}
	if r.P99Ms < 4900 || r.P50Ms < 19 || !r.LoaderSaturated {
		t.Errorf("latency must include the send lag and the wait of failed queries: %+v", r)
	}
}

func TestStragglersOfOneShardDoNotOverlap(t *testing.T) {
	for _, p := range presets() {
		for _, s := range p.services {
			checkStragglerPhases(t, s)
		}
	}
}

func checkStragglerPhases(t *testing.T, s presetService) {
	t.Helper()
	for shard := range s.shards {
		phases := map[int]bool{}
		for replica := range s.replicas {
			phases[s.stragglerPhase(shard, replica)] = true
		}
		if len(phases) != s.replicas {
			t.Errorf("%s, shard %d: %d replicas straggle in %d distinct phases", s.name, shard, s.replicas, len(phases))
		}
	}
}

// countOutcomes returns the number of queries with an outcome; all sent queries must have one.
func countOutcomes(r Result) int64 {
	total := r.Answered + r.Failures
	for _, count := range r.Refused {
		total += count
	}
	return total
}

func TestCompareMeasures(t *testing.T) {
	status, out, errOut := runCommand("compare", "-preset", "plinovid-logging", "-scale", "0.3", "-entries", "2", "-load", "0.2", "-seconds", "0.5", "-warm-up", "0.1", "-work-ms", "5")
	if status != exitSuccess {
		t.Fatalf("exit status %d: %s", status, errOut)
	}
	lines := strings.Split(strings.TrimSpace(out), "\n")
	if len(lines) != 4 {
		t.Fatalf("%d results: %s", len(lines), out)
	}
	for _, line := range lines {
		var r Result
		if err := json.Unmarshal([]byte(line), &r); err != nil {
			t.Fatal(err)
		}
		if r.Answered < r.Sent/2 || countOutcomes(r) != r.Sent || r.UpstreamWork < 1 || r.ConnectionsOpened == 0 || r.PeakConnectionsPerReplica > 50 {
			t.Errorf("unexpected result: %+v", r)
		}
	}
	if !strings.Contains(errOut, "upstream") && !strings.Contains(errOut, "work") {
		t.Errorf("table: %s", errOut)
	}
}
