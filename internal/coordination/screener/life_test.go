package screener

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

// TestResponsesThatRefuteCrashes guards against a request that stays quarantined although a replica answers others over the connections that it had, and against responses that prove nothing: they may be of the next process, or were sent before the crash.
func TestResponsesThatRefuteCrashes(t *testing.T) {
	cases := []struct {
		name    string
		replica string
		// connected and sent are relative to the last crash.
		connected, sent time.Duration
		isUnknown       bool
		want            bool
	}{
		{"older connection", "2", -time.Second, time.Millisecond, false, true},
		{"sent before the crash", "2", -time.Second, -time.Millisecond, false, false},
		{"sent at the time of the crash", "2", -time.Second, 0, false, false},
		{"newer connection", "2", time.Millisecond, 2 * time.Millisecond, false, false},
		{"relayed", "2", 0, time.Millisecond, true, false},
		{"another replica", "9", -time.Second, time.Millisecond, false, false},
	}
	for _, c := range cases {
		s := New(start)
		crashed := crashThrice(s)
		s.TakeReports(10)
		s.TakeChanges()
		d := Delivery{
			SentAt: crashed.Add(c.sent),
		}
		if !c.isUnknown {
			d.ConnectedAt = crashed.Add(c.connected)
		}
		now := crashed.Add(time.Second)
		s.RecordResponse(now, attemptIn(1, c.replica), d)
		isRefuted := s.Check(now, 7).QuarantinedFor == 0
		reports, changes := s.TakeReports(10), s.TakeChanges()
		if isRefuted != c.want || (len(reports) == 1) != c.want || (len(changes) == 1) != c.want {
			t.Errorf("%s: refuted %t, %d reports, %d changes; want %t", c.name, isRefuted, len(reports), len(changes), c.want)
		}
		if c.want && (!reports[0].IsLifeSign || reports[0].ToWire(now).GetReplica() != c.replica || reports[0].ToWire(now).GetCrashed()) {
			t.Errorf("%s: report %+v", c.name, reports[0])
		}
	}
}

// TestUnreportedCrashesCount guards against a quarantined request that is sent once more, because what control says does not have the last crash yet.
func TestUnreportedCrashesCount(t *testing.T) {
	s := New(start)
	now := crashThrice(s)
	record := &wire.SuspectRequest{
		Fingerprint: 7,
		Index:       5,
		Crashes:     s.table.Find(7).GetCrashes()[:2],
	}
	s.Update(now.Add(reportTime-1), []*wire.SuspectRequest{record}, 0)
	if s.Check(now, 7).QuarantinedFor == 0 || s.table.Find(7).GetIndex() != 5 {
		t.Errorf("released by a record without the last crash: %v", s.table.Find(7))
	}
	later := proto.CloneOf(record)
	later.Index++
	s.Update(now.Add(reportTime), []*wire.SuspectRequest{later}, 0)
	if s.Check(now, 7).QuarantinedFor != 0 {
		t.Errorf("quarantined by a crash that control does not confirm: %v", s.table.Find(7))
	}
}

// TestLossesAreBounded guards against memory that grows with the replicas that have ended a connection.
func TestLossesAreBounded(t *testing.T) {
	s := New(start)
	for i := range int64(2 * maxLosses) {
		a := attemptIn(1, "a")
		a.BornMs = i
		s.RecordCrash(start.Add(time.Duration(i)), a)
	}
	if len(s.lostAt) != maxLosses {
		t.Errorf("%d incarnations, want %d", len(s.lostAt), maxLosses)
	}
}
