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
	a, b, other := NewSchedule(1, perSecond), NewSchedule(1, perSecond), NewSchedule(2, perSecond)
	var last, squares float64
	differ := false
	for range arrivals {
		at := a.Next()
		if at != b.Next() {
			t.Fatal("the same seed gave other arrivals")
		}
		differ = differ || at != other.Next()
		gap := at.Seconds() - last
		last = at.Seconds()
		squares += gap * gap
	}
	mean := last / arrivals
	if !differ || math.Abs(mean*perSecond-1) > 0.05 {
		t.Errorf("mean gap %v s at %v a second; other seeds differ: %v", mean, perSecond, differ)
	}
	// The gaps of a Poisson process have a deviation equal to their mean.
	if spread := squares/arrivals/(mean*mean) - 1; math.Abs(spread-1) > 0.1 {
		t.Errorf("squared deviation of the gaps is %v of the squared mean", spread)
	}
}

func TestMeasurerCountsFromTheIntendedTime(t *testing.T) {
	m := newMeasurer(4)
	whole := &assembler.Answer{Status: http.StatusOK, Outcome: "answered", Coverage: 1, CoverageMet: true}
	part := &assembler.Answer{Status: http.StatusOK, Outcome: "answered", Coverage: 0.5, MissingShards: []string{"a", "b"}}
	refused := &assembler.Answer{Status: http.StatusServiceUnavailable, Outcome: "not-run", Reason: "overload", RetryAfterMs: 100}
	unknown := &assembler.Answer{Status: http.StatusGatewayTimeout, Outcome: "unknown", Reason: "deadline"}
	m.took(10*time.Millisecond, 0, whole, nil)
	m.took(20*time.Millisecond, 8*time.Millisecond, part, nil)
	m.took(time.Millisecond, 0, refused, nil)
	m.took(3*time.Second, 0, unknown, nil)
	m.took(5*time.Second, 0, nil, http.ErrServerClosed)
	var r Result
	m.fill(&r, 2*time.Second)
	if r.Sent != 5 || r.Answered != 2 || r.Whole != 1 || r.AnsweredPerSecond != 1 || r.Coverage != 0.75 || r.Needed != 6 || r.Failures != 1 {
		t.Errorf("counts: %+v", r)
	}
	if r.Refused["not-run/overload"] != 1 || r.Refused["unknown/deadline"] != 1 || r.RefusedWithoutHint != 1 || r.RefusalP99Ms > 1.1 {
		t.Errorf("refusals: %+v", r)
	}
	if r.P99Ms < 4900 || r.P50Ms < 19 || !r.LoaderSaturated {
		t.Errorf("a late send and the time that callers waited count: %+v", r)
	}
}

func TestStragglersNeverMeet(t *testing.T) {
	for _, p := range presets() {
		for _, s := range p.services {
			checkTurns(t, s)
		}
	}
}

func checkTurns(t *testing.T, s presetService) {
	t.Helper()
	for shard := range s.shards {
		turns := map[int]bool{}
		for replica := range s.replicas {
			turns[s.turn(shard, replica)] = true
		}
		if len(turns) != s.replicas {
			t.Errorf("%s, shard %d: %d replicas straggle in %d turns", s.name, shard, s.replicas, len(turns))
		}
	}
}

func TestCompareMeasures(t *testing.T) {
	status, out, errOut := call("compare", "-preset", "plinovid-logging", "-scale", "0.3", "-entries", "2", "-load", "0.2", "-seconds", "0.5", "-warm-up", "0.1", "-work-ms", "5")
	if status != exitDone {
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
		if r.Answered == 0 || r.Answered != r.Sent || r.Coverage != 1 || r.WorkPerAnswer < 1 || r.Opened == 0 {
			t.Errorf("%+v", r)
		}
	}
	if !strings.Contains(errOut, "upstream") && !strings.Contains(errOut, "work") {
		t.Errorf("table: %s", errOut)
	}
}
