package expirer

import (
	"testing"
	"time"
)

const (
	replica        = 7
	silenceTimeout = 9 * time.Second
	roundInterval  = 2 * time.Second
)

var start = time.Unix(1_000_000, 0)

// TestNewReplicaIsNotSilent checks that a replica new to the table gets the whole silence timeout, however
// long the leader has been leading.
func TestNewReplicaIsNotSilent(t *testing.T) {
	e := New(silenceTimeout)
	now := start
	for range 30 {
		now = now.Add(roundInterval)
		e.RecordReport(now, "other")
		e.BeginRound(now, 1, []string{"other"})
	}
	if e.IsSilent(now, replica) {
		t.Fatal("silent before its timeout has passed")
	}
	for range 5 {
		now = now.Add(roundInterval)
		e.RecordReport(now, "other")
		e.BeginRound(now, 1, []string{"other"})
	}
	if !e.IsSilent(now, replica) {
		t.Error("not silent after its timeout has passed")
	}
}

// isSilentAfterRounds runs the given number of leader rounds and reports whether the replica is silent after
// them. The functions return for each round whether the replica and the other control instance are heard
// before it, the pause before it, and its term.
func isSilentAfterRounds(rounds int, isHeard, isReported func(i int) bool, pause func(i int) time.Duration, term func(i int) uint64) bool {
	e := New(silenceTimeout)
	now := start
	for i := range rounds {
		now = now.Add(roundInterval + pause(i))
		if isReported(i) {
			e.RecordReport(now, "other")
		}
		if isHeard(i) {
			e.RecordHeartbeat(now, replica)
		}
		e.BeginRound(now, term(i), []string{"other"})
		e.IsSilent(now, replica)
	}
	return e.IsSilent(now, replica)
}

func TestExpirer(t *testing.T) {
	always := func(int) bool { return true }
	never := func(int) bool { return false }
	noPause := func(int) time.Duration { return 0 }
	sameTerm := func(int) uint64 { return 1 }
	cases := []struct {
		name       string
		rounds     int
		isHeard    func(i int) bool
		isReported func(i int) bool
		pause      func(i int) time.Duration
		term       func(i int) uint64
		want       bool
	}{
		{"regular heartbeats", 20, always, always, noPause, sameTerm, false},
		{"no heartbeats", 20, never, always, noPause, sameTerm, true},
		{"last heartbeat long ago", 20, func(i int) bool { return i < 10 }, always, noPause, sameTerm, true},
		{"recent heartbeat", 20, func(i int) bool { return i < 17 }, always, noPause, sameTerm, false},
		{"short leadership", 4, never, always, noPause, sameTerm, false},
		{"new term", 20, never, always, noPause, func(i int) uint64 { return uint64(i / 17) }, false},
		{"another control instance is partitioned and may receive heartbeats", 20, never, func(i int) bool { return i < 10 }, noPause, sameTerm, false},
		{"leader recently suspended", 20, never, always, func(i int) time.Duration { return map[bool]time.Duration{true: 8 * time.Second}[i == 17] }, sameTerm, false},
	}
	for _, c := range cases {
		if got := isSilentAfterRounds(c.rounds, c.isHeard, c.isReported, c.pause, c.term); got != c.want {
			t.Errorf("%s: silent %v, want %v", c.name, got, c.want)
		}
	}
}
