package quarantiner

import (
	"fmt"
	"testing"
	"time"
)

// TestLifeSigns guards against a quarantine that goes on although the replicas have run on, and against one that ends by signs of other processes.
func TestLifeSigns(t *testing.T) {
	cases := []struct {
		name    string
		replica string
		bornMs  int64
		want    bool
	}{
		{"one of those that crashed", "1", 1, false},
		{"its next incarnation", "1", 2, true},
		{"another replica", "9", 1, true},
	}
	for _, c := range cases {
		q := New(nil)
		crashThrice(q, "s", 100)
		index := q.Find(fingerprint).GetIndex()
		sign := NewLifeSign(c.replica, c.bornMs)
		if got := q.IsUpdate(sign); got == c.want {
			t.Errorf("%s: update %t", c.name, got)
		}
		for _, table := range []*Quarantiner{q, New(q.Suspects(0))} {
			table.Report(200, sign, index+1)
			suspect := table.Find(fingerprint)
			if got := Remaining(suspect, 200) > 0; got != c.want {
				t.Errorf("%s: quarantined %t, want %t", c.name, got, c.want)
			}
			if hasChanged := suspect.GetIndex() != index; hasChanged == c.want {
				t.Errorf("%s: index %d after %d", c.name, suspect.GetIndex(), index)
			}
			if table.IsUpdate(sign) {
				t.Errorf("%s: the same sign changes the table again", c.name)
			}
		}
	}
}

// TestSinceCrash checks the time since the last crash under the requests of a replica, also once records were evicted or answered.
func TestSinceCrash(t *testing.T) {
	q := New(nil)
	crashThrice(q, "s", 100)
	for replica, want := range map[string]bool{
		"0": true,
		"2": true,
		"9": false,
	} {
		since, isSuspected := q.SinceCrash(3100, replica, 1)
		if isSuspected != want || want && since != 3*time.Second {
			t.Errorf("%s: %s, suspected %t", replica, since, isSuspected)
		}
	}
	answer("s", 4).report(q, 200, 2)
	if _, isSuspected := q.SinceCrash(300, "0", 1); isSuspected || len(q.crashed) != 0 {
		t.Errorf("suspected after an answer, %v", q.crashed)
	}
	for i := range 10 {
		crash("s", fmt.Sprint(i), 1).report(q, 300, 3)
	}
	crash("s", "last", 1).report(q, 2*recordTTL.Milliseconds(), 4)
	if len(q.crashed) != len(q.Find(fingerprint).GetCrashes()) {
		t.Errorf("%d incarnations counted, %d crashes", len(q.crashed), len(q.Find(fingerprint).GetCrashes()))
	}
}

// TestRetryAfterOfQuarantine guards against callers that are told to stay away for ten minutes while a quarantine may still be refuted.
func TestRetryAfterOfQuarantine(t *testing.T) {
	q := New(nil)
	crashThrice(q, "s", 0)
	suspect := q.Find(fingerprint)
	for nowMs, want := range map[int64]time.Duration{
		0:                             settleTime,
		settleTime.Milliseconds() - 1: time.Millisecond,
		settleTime.Milliseconds():     Duration - settleTime,
		Duration.Milliseconds():       0,
	} {
		if got := RetryAfter(suspect, nowMs); got != want {
			t.Errorf("after %d ms: %s, want %s", nowMs, got, want)
		}
	}
}
