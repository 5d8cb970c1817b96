package quarantiner

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

const fingerprint = 7

// attemptEnd is the end of an attempt that was sent and ended at the given milliseconds.
type attemptEnd struct {
	service, replica  string
	crashed           bool
	startedMs, endsMs int64
}

func crash(service, replica string, startedMs, endsMs int64) attemptEnd {
	return attemptEnd{service, replica, true, startedMs, endsMs}
}

func answer(service string, startedMs, endsMs int64) attemptEnd {
	return attemptEnd{service, "answering", false, startedMs, endsMs}
}

func (a attemptEnd) report(q *Quarantiner, index uint64) {
	q.Report(a.endsMs, &wire.AttemptEnd{
		Fingerprint:  fingerprint,
		Service:      a.service,
		Replica:      a.replica,
		BornMs:       1,
		Crashed:      a.crashed,
		StartedMsAgo: uint32(a.endsMs - a.startedMs),
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
		{"one crash", []attemptEnd{crash("s", "1", 0, 10)}, false, false},
		{"three crashes one after the other", []attemptEnd{crash("s", "1", 0, 10), crash("s", "2", 20, 30), crash("s", "3", 40, 50)}, true, true},
		{"attempts that ran at the same time", []attemptEnd{crash("s", "1", 0, 10), crash("s", "2", 1, 30), crash("s", "3", 9, 50), crash("s", "4", 5, 60)}, true, false},
		{"one replica that breaks connections", []attemptEnd{crash("s", "1", 0, 10), crash("s", "1", 20, 30), crash("s", "1", 40, 50)}, false, false},
		{"answered after the third", []attemptEnd{crash("s", "1", 0, 10), crash("s", "2", 20, 30), crash("s", "3", 40, 50), answer("s", 45, 60)}, false, false},
		{"answered between them", []attemptEnd{crash("s", "1", 0, 10), crash("s", "2", 20, 30), answer("s", 31, 35), crash("s", "3", 40, 50)}, false, false},
		{"answered before the last", []attemptEnd{crash("s", "1", 0, 10), crash("s", "2", 20, 30), crash("s", "3", 40, 50), answer("s", 20, 45)}, true, true},
		{"answered by another service", []attemptEnd{crash("s", "1", 0, 10), crash("s", "2", 20, 30), crash("s", "3", 40, 50), answer("r", 45, 60)}, true, true},
		{"shards, then probes", []attemptEnd{crash("s", "1", 0, 10), crash("r", "2", 0, 11), crash("q", "3", 0, 12), crash("s", "4", 20, 30), crash("r", "5", 40, 50)}, true, true},
		{"shards that crash at once", []attemptEnd{crash("s", "1", 0, 10), crash("r", "2", 0, 11), crash("q", "3", 0, 12)}, true, false},
	}
	for _, c := range cases {
		q := New(nil)
		for i, end := range c.ends {
			end.report(q, uint64(i+1))
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

// TestQuarantineEnds checks that a quarantine ends after its duration and that one more crash renews it.
func TestQuarantineEnds(t *testing.T) {
	q := New(nil)
	for i := range int64(3) {
		crash("s", fmt.Sprint(i), i*20, i*20+10).report(q, 1)
	}
	end := Duration.Milliseconds() + 50
	if got := Remaining(q.Find(fingerprint), end-1); got != time.Millisecond {
		t.Errorf("%s left just before the end", got)
	}
	if got := Remaining(q.Find(fingerprint), end); got != 0 {
		t.Errorf("%s left at the end", got)
	}
	crash("s", "later", end, end+10).report(q, 2)
	if got := Remaining(q.Find(fingerprint), end+10); got != Duration {
		t.Errorf("%s left after one more crash, want %s", got, Duration)
	}
}

// TestPartialQuarantine checks that a request which crashes few of its shards is kept from these alone.
func TestPartialQuarantine(t *testing.T) {
	q := New(nil)
	for i := range int64(3) {
		crash("bad", fmt.Sprint(i), i*20, i*20+10).report(q, 1)
	}
	if !AffectsShard(q.Find(fingerprint), "bad") || AffectsShard(q.Find(fingerprint), "good") {
		t.Error("want the shard that crashes alone")
	}
	crash("bad-2", "3", 70, 80).report(q, 2)
	crash("bad-3", "4", 90, 99).report(q, 3)
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
	for i := range int64(maxCrashes + 50) {
		crash("s", fmt.Sprint(i), 0, 100).report(tables[0], 1000)
	}
	if got := len(tables[0].Find(fingerprint).GetCrashes()); got != maxCrashes {
		t.Errorf("%d crashes in a record, want %d", got, maxCrashes)
	}
	crash("s", "last", 0, 2*recordTTL.Milliseconds()).report(tables[0], 1001)
	if got := len(tables[0].Suspects(0)); got != 1 {
		t.Errorf("%d records after their lifetime, want 1", got)
	}
}
