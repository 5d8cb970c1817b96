package screener

import (
	"fmt"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/state/quarantiner"
	"pimentogate.example/pimentogate/pkg/wire"
)

var start = time.Unix(1_000_000, 0)

func attemptIn(round uint32, replica string) Attempt {
	return Attempt{
		Fingerprint: 7,
		Service:     "s",
		Replica:     replica,
		Round:       round,
	}
}

// crashThrice records three crashes, 100 ms apart, and returns the time of the last.
func crashThrice(s *Screener) time.Time {
	now := start
	for i := range 3 {
		now = now.Add(100 * time.Millisecond)
		s.RecordCrash(now, attemptIn(s.NextRound(7), fmt.Sprint(i)))
	}
	return now
}

// TestLocalCrashes checks that crashes seen by this instance alone suffice for a quarantine, and that control is told of each once.
func TestLocalCrashes(t *testing.T) {
	s := New(start)
	now := crashThrice(s)
	s.RecordCrash(now, attemptIn(4, "2"))
	if got := s.Check(now, 7).QuarantinedFor; got != quarantiner.Duration {
		t.Errorf("quarantined for %s", got)
	}
	if got := s.Check(now, 8); got != (Verdict{}) {
		t.Errorf("verdict on another request: %+v", got)
	}
	if got := len(s.TakeReports(2)) + len(s.TakeReports(10)); got != 3 {
		t.Errorf("%d reports, want 3", got)
	}
	if changes := s.TakeChanges(); len(changes) != 1 || !changes[0].IsQuarantined || s.QuarantinedCount(now) != 1 {
		t.Errorf("changes %v", changes)
	}
}

// TestRecordsOfControl checks that the records of control quarantine a request here although the clocks differ, and that an older record changes nothing.
func TestRecordsOfControl(t *testing.T) {
	const controlNowMs = 1_700_000_000_000
	s := New(start)
	record := &wire.SuspectRequest{
		Fingerprint: 7,
		LastCrashMs: controlNowMs - 2000,
		Index:       5,
	}
	for i := range uint32(3) {
		record.Crashes = append(record.Crashes, &wire.ReplicaCrash{
			Service: "s",
			Replica: fmt.Sprint(i),
			Round:   i + 1,
		})
	}
	s.Update(start, []*wire.SuspectRequest{record}, controlNowMs)
	if got := s.Check(start, 7).QuarantinedFor; got != quarantiner.Duration-2*time.Second {
		t.Errorf("quarantined for %s", got)
	}
	s.Update(start, []*wire.SuspectRequest{{
		Fingerprint: 7,
		Index:       4,
	}}, controlNowMs)
	if s.Check(start, 7).QuarantinedFor == 0 {
		t.Error("an older record ended the quarantine")
	}
	s.Update(start, []*wire.SuspectRequest{{
		Fingerprint: 7,
		Index:       6,
	}}, controlNowMs)
	if s.Check(start, 7).QuarantinedFor != 0 || s.QuarantinedCount(start) != 0 {
		t.Error("a newer record without crashes did not end the quarantine")
	}
}

// TestReportsAreBounded checks that a control that takes no reports does not make memory grow.
func TestReportsAreBounded(t *testing.T) {
	s := New(start)
	for i := range 2 * maxReports {
		s.RecordCrash(start, attemptIn(1, fmt.Sprint(i)))
	}
	if got := len(s.TakeReports(2 * maxReports)); got != maxReports {
		t.Errorf("%d reports wait, want %d", got, maxReports)
	}
}
