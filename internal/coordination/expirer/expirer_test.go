package expirer

import (
	"testing"
	"time"
)

const (
	replica = 7
	silence = 9 * time.Second
	round   = 2 * time.Second
)

var start = time.Unix(1_000_000, 0)

// TestNewReplicaIsNotSilent holds that a replica which has just appeared in the table is given the time to be heard of, however long the leader leads.
func TestNewReplicaIsNotSilent(t *testing.T) {
	e := New(silence)
	now := start
	for range 30 {
		now = now.Add(round)
		e.Report(now, "other")
		e.Lead(now, 1, []string{"other"})
	}
	if e.IsSilent(now, replica) {
		t.Fatal("given up before it could be heard of")
	}
	for range 5 {
		now = now.Add(round)
		e.Report(now, "other")
		e.Lead(now, 1, []string{"other"})
	}
	if !e.IsSilent(now, replica) {
		t.Error("never given up")
	}
}

// play leads for the given number of rounds; hears, reports and pauses say what happens before each.
func play(rounds int, hears, reports func(i int) bool, pause func(i int) time.Duration, term func(i int) uint64) bool {
	e := New(silence)
	now := start
	for i := range rounds {
		now = now.Add(round + pause(i))
		if reports(i) {
			e.Report(now, "other")
		}
		if hears(i) {
			e.Hear(now, replica)
		}
		e.Lead(now, term(i), []string{"other"})
		e.IsSilent(now, replica)
	}
	return e.IsSilent(now, replica)
}

func TestExpirer(t *testing.T) {
	always := func(int) bool { return true }
	never := func(int) bool { return false }
	none := func(int) time.Duration { return 0 }
	same := func(int) uint64 { return 1 }
	cases := []struct {
		name    string
		rounds  int
		hears   func(i int) bool
		reports func(i int) bool
		pause   func(i int) time.Duration
		term    func(i int) uint64
		want    bool
	}{
		{"heard", 20, always, always, none, same, false},
		{"never heard", 20, never, always, none, same, true},
		{"heard long ago", 20, func(i int) bool { return i < 10 }, always, none, same, true},
		{"heard lately", 20, func(i int) bool { return i < 17 }, always, none, same, false},
		{"leads too shortly", 4, never, always, none, same, false},
		{"new term", 20, never, always, none, func(i int) uint64 { return uint64(i / 17) }, false},
		{"another control instance is cut off, and may hear it", 20, never, func(i int) bool { return i < 10 }, none, same, false},
		{"suspended lately", 20, never, always, func(i int) time.Duration { return map[bool]time.Duration{true: 8 * time.Second}[i == 17] }, same, false},
	}
	for _, c := range cases {
		if got := play(c.rounds, c.hears, c.reports, c.pause, c.term); got != c.want {
			t.Errorf("%s: silent %v, want %v", c.name, got, c.want)
		}
	}
}
