package quarantiner

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

const fingerprint = 7

// attemptEnd is the end of an attempt in a round.
type attemptEnd struct {
	service, replica string
	crashed          bool
	round            uint32
}

func crash(service, replica string, round uint32) attemptEnd {
	return attemptEnd{service, replica, true, round}
}

func answer(service string, round uint32) attemptEnd {
	return attemptEnd{service, "answering", false, round}
}

func (a attemptEnd) report(q *Quarantiner, nowMs int64, index uint64) {
	q.Report(nowMs, &wire.AttemptEnd{
		Fingerprint: fingerprint,
		Service:     a.service,
		Replica:     a.replica,
		BornMs:      1,
		Crashed:     a.crashed,
		Round:       a.round,
	}, index)
}

// TestQuarantine checks after which ends of attempts a request is quarantined.
func TestQuarantine(t *testing.T) {
	cases := []struct {
		name          string
		ends          []attemptEnd
		isSuspect     bool
		isQuarantined bool
	}{
		{"one crash", []attemptEnd{crash("s", "1", 1)}, false, false},
		{"three crashes one after the other", []attemptEnd{crash("s", "1", 1), crash("s", "2", 2), crash("s", "3", 3)}, true, true},
		{"attempts that knew of no crash", []attemptEnd{crash("s", "1", 1), crash("s", "2", 1), crash("s", "3", 1), crash("s", "4", 1)}, true, false},
		{"attempts that knew of the first crash", []attemptEnd{crash("s", "1", 1), crash("s", "2", 2), crash("s", "3", 2), crash("s", "4", 2)}, true, false},
		{"one replica that breaks connections", []attemptEnd{crash("s", "1", 1), crash("s", "1", 2), crash("s", "1", 3)}, false, false},
		{"a round of which nothing was heard", []attemptEnd{crash("s", "1", 1), crash("s", "3", 3), crash("s", "4", 3)}, true, true},
		{"answered after the third", []attemptEnd{crash("s", "1", 1), crash("s", "2", 2), crash("s", "3", 3), answer("s", 4)}, false, false},
		{"answered between them", []attemptEnd{crash("s", "1", 1), crash("s", "2", 2), answer("s", 3), crash("s", "3", 3)}, false, false},
		{"answered before the last", []attemptEnd{crash("s", "1", 1), crash("s", "2", 2), crash("s", "3", 3), answer("s", 1)}, true, true},
		{"answered by another service", []attemptEnd{crash("s", "1", 1), crash("s", "2", 2), crash("s", "3", 3), answer("r", 4)}, true, true},
		{"shards, then probes", []attemptEnd{crash("s", "1", 1), crash("r", "2", 1), crash("q", "3", 1), crash("s", "4", 2), crash("r", "5", 3)}, true, true},
		{"shards that crash at once", []attemptEnd{crash("s", "1", 1), crash("r", "2", 1), crash("q", "3", 1)}, true, false},
	}
	for _, c := range cases {
		q := New(nil)
		for i, end := range c.ends {
			end.report(q, 100, uint64(i+1))
		}
		suspect := q.Find(fingerprint)
		if got := IsSuspect(suspect); got != c.isSuspect {
			t.Errorf("%s: suspect: %t", c.name, got)
		}
		if got := Remaining(suspect, 100) > 0; got != c.isQuarantined {
			t.Errorf("%s: quarantined: %t, %v", c.name, got, suspect)
		}
	}
}

// crashThrice quarantines the request by crashes of replicas of the service at the given time.
func crashThrice(q *Quarantiner, service string, nowMs int64) {
	for round := range uint32(3) {
		crash(service, fmt.Sprint(round), round+1).report(q, nowMs, 1)
	}
}

// TestClockSetBack guards against a clock that is set back hiding that attempts came one after the other, or making a quarantine longer.
func TestClockSetBack(t *testing.T) {
	const before, after = 10_000, 7_000
	q := New(nil)
	crash("s", "1", 1).report(q, before, 1)
	crash("s", "2", 2).report(q, after, 2)
	crash("s", "3", 3).report(q, after+100, 3)
	if got := Remaining(q.Find(fingerprint), after+100); got != Duration {
		t.Errorf("%s left after three crashes one after the other, want %s", got, Duration)
	}
}

// TestQuarantineEnds checks that a quarantine ends after its duration and that one more crash renews it.
func TestQuarantineEnds(t *testing.T) {
	q := New(nil)
	crashThrice(q, "s", 50)
	end := Duration.Milliseconds() + 50
	if got := Remaining(q.Find(fingerprint), end-1); got != time.Millisecond {
		t.Errorf("%s left just before the end", got)
	}
	if got := Remaining(q.Find(fingerprint), end); got != 0 {
		t.Errorf("%s left at the end", got)
	}
	crash("s", "later", 4).report(q, end+10, 2)
	if got := Remaining(q.Find(fingerprint), end+10); got != Duration {
		t.Errorf("%s left after one more crash, want %s", got, Duration)
	}
}

// TestPartialQuarantine checks that a request which crashes few of its shards is kept from these alone.
func TestPartialQuarantine(t *testing.T) {
	q := New(nil)
	crashThrice(q, "bad", 0)
	if !AffectsShard(q.Find(fingerprint), "bad") || AffectsShard(q.Find(fingerprint), "good") {
		t.Error("want the shard that crashes alone")
	}
	crash("bad-2", "4", 4).report(q, 0, 2)
	crash("bad-3", "5", 5).report(q, 0, 3)
	if !AffectsShard(q.Find(fingerprint), "good") {
		t.Error("want all shards after crashes in three of them")
	}
}

// TestBounds checks that the table stays within its bounds and forgets old crashes, and that all instances drop the same records.
func TestBounds(t *testing.T) {
	tables := []*Quarantiner{New(nil), New(nil)}
	for i := range uint64(maxSuspects + 100) {
		for _, q := range tables {
			q.Report(int64(i/10), &wire.AttemptEnd{
				Fingerprint: i,
				Crashed:     true,
			}, i)
		}
	}
	if got := len(tables[0].Suspects(0)); got != maxSuspects {
		t.Errorf("%d records, want %d", got, maxSuspects)
	}
	for i, suspect := range tables[0].Suspects(0) {
		if !proto.Equal(suspect, tables[1].Suspects(0)[i]) {
			t.Fatalf("record %d differs between the tables", i)
		}
	}
	for i := range maxCrashes + 50 {
		crash("s", fmt.Sprint(i), 1).report(tables[0], 100, 1000)
	}
	if got := len(tables[0].Find(fingerprint).GetCrashes()); got != maxCrashes {
		t.Errorf("%d crashes in a record, want %d", got, maxCrashes)
	}
	crash("s", "last", 1).report(tables[0], 2*recordTTL.Milliseconds(), 1001)
	if got := len(tables[0].Suspects(0)); got != 1 {
		t.Errorf("%d records after their lifetime, want 1", got)
	}
}
