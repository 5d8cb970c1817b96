package screener

import (
	"fmt"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/state/quarantiner"
	"pimentogate.example/pimentogate/pkg/wire"
)

// loseThrice records the losses of attempts at three replicas, one after the other.
func loseThrice(s *Screener) (time.Time, []Attempt) {
	now := start
	var lost []Attempt
	for i := range 3 {
		now = now.Add(100 * time.Millisecond)
		a := attemptIn(s.NextRound(7), fmt.Sprint(i))
		a.BornMs = 5
		a.Zone = "a"
		s.RecordLoss(now, a)
		lost = append(lost, a)
	}
	return now, lost
}

// TestLostConnections checks what confirms and what refutes the crashes of replicas that have ended connections. It guards against quarantines of requests whose answers were lost on the way, and against missing real crashes.
func TestLostConnections(t *testing.T) {
	type state struct {
		*Screener

		now  time.Time
		lost []Attempt
	}
	dial := func(result DialResult) func(*state) {
		return func(s *state) {
			for _, a := range s.lost {
				s.RecordDial(s.now, a.Incarnation(), result)
			}
		}
	}
	replace := func(s *state, isLost bool, born int64) {
		for _, a := range s.lost {
			s.UpdateReplica(s.now, Incarnation{
				Replica: a.Replica,
				BornMs:  born,
			}, isLost)
		}
	}
	repeat := func(s *state) {
		for _, a := range s.lost {
			s.RecordLoss(s.now, a)
			s.RecordLoss(s.now, a)
		}
	}
	cases := []struct {
		name    string
		act     func(*state)
		minWait time.Duration
		maxWait time.Duration
		reports int
	}{
		{"nothing is known", func(*state) {}, time.Second, suspicionTTL, 0},
		{"nothing is known after the lifetime of a suspicion", func(s *state) { s.now = s.now.Add(suspicionTTL) }, 0, 0, 0},
		{"refused", dial(DialRefused), time.Minute, quarantiner.Duration, 3},
		{"accepted", dial(DialAccepted), 0, 0, 0},
		{"path failed", dial(DialPathFailed), 0, 0, 0},
		{"unanswered", dial(DialUnanswered), time.Second, suspicionTTL, 0},
		{"lost by control", func(s *state) { replace(s, true, 5) }, time.Minute, quarantiner.Duration, 3},
		{"lost by control long after", func(s *state) {
			s.now = s.now.Add(10 * time.Second)
			s.Expire(s.now, s.now)
			replace(s, true, 5)
		}, time.Minute, quarantiner.Duration, 3},
		{"zone silent, then lost by control", func(s *state) {
			dial(DialUnanswered)(s)
			replace(s, true, 5)
		}, time.Second, suspicionTTL, 0},
		{"accepted, then lost by control", func(s *state) {
			dial(DialAccepted)(s)
			replace(s, true, 5)
		}, 0, 0, 0},
		{"newer incarnation", func(s *state) { replace(s, false, 6) }, time.Minute, quarantiner.Duration, 3},
		{"accepted by the newer incarnation", func(s *state) {
			dial(DialAccepted)(s)
			replace(s, false, 6)
		}, time.Minute, quarantiner.Duration, 3},
		{"same incarnation", func(s *state) { replace(s, false, 5) }, time.Second, suspicionTTL, 0},
		{"several attempts lost, one unanswered", func(s *state) {
			repeat(s)
			s.RecordDial(s.now, s.lost[0].Incarnation(), DialUnanswered)
		}, time.Millisecond, suspicionTTL, 1},
		{"several attempts lost, accepted", func(s *state) {
			repeat(s)
			dial(DialAccepted)(s)
		}, 0, 0, 0},
		{"another replica at the address", func(s *state) { s.RecordEnd(s.now, s.lost[0].Incarnation()) }, time.Millisecond, suspicionTTL, 1},
		{"responded since", func(s *state) { s.RecordResponse(s.now, s.now.Add(time.Millisecond), s.lost[1].Incarnation()) }, 0, 0, 0},
		{"response to an attempt sent before", func(s *state) { s.RecordResponse(s.now, start, s.lost[1].Incarnation()) }, time.Second, suspicionTTL, 0},
		{"answered since", func(s *state) { s.RecordAnswer(s.now, attemptIn(4, "other")) }, 0, 0, 0},
	}
	for _, c := range cases {
		s := &state{
			Screener: New(start),
		}
		s.now, s.lost = loseThrice(s.Screener)
		c.act(s)
		if got := s.Check(s.now, 7).QuarantinedFor; got < c.minWait || got > c.maxWait {
			t.Errorf("%s: quarantined for %s, want %s to %s", c.name, got, c.minWait, c.maxWait)
		}
		if got := len(s.TakeReports(100)); got != c.reports {
			t.Errorf("%s: %d reports, want %d", c.name, got, c.reports)
		}
	}
}

// TestResponseRefutesConfirmedCrash checks that a cut which looks like crashes quarantines nothing for good, and that the answers of a process that has started anew at the address do not refute a crash.
func TestResponseRefutesConfirmedCrash(t *testing.T) {
	cases := []struct {
		name string
		// sentAfter is when the attempt that had a response was sent, isNewer whether a newer incarnation was then announced, and isCut whether control was not heard.
		sentAfter      time.Duration
		isNewer, isCut bool
		isQuarantined  bool
	}{
		{"alive", time.Millisecond, false, false, false},
		{"response to an attempt sent before", -time.Millisecond, false, false, true},
		{"newer incarnation", time.Millisecond, true, false, true},
		{"control not heard", time.Millisecond, false, true, true},
	}
	for _, c := range cases {
		s := New(start)
		now, lost := loseThrice(s)
		for _, a := range lost {
			s.RecordDial(now, a.Incarnation(), DialRefused)
		}
		s.TakeReports(10)
		s.RecordResponse(now.Add(time.Second), now.Add(c.sentAfter), lost[0].Incarnation())
		if c.isNewer {
			s.UpdateReplica(now, Incarnation{
				Replica: lost[0].Replica,
				BornMs:  6,
			}, false)
		}
		later := now.Add(time.Second + proofDelay)
		heardAt := later
		if c.isCut {
			heardAt = now
		}
		s.Expire(later, heardAt)
		if got := s.Check(later, 7).QuarantinedFor > 0; got != c.isQuarantined {
			t.Errorf("%s: quarantined: %t", c.name, got)
		}
		reports := s.TakeReports(10)
		if c.isQuarantined != (len(reports) == 0) {
			t.Errorf("%s: reports %v", c.name, reports)
			continue
		}
		if !c.isQuarantined && !isRefutedAtControl(lost, reports[0].ToWire(later)) {
			t.Errorf("%s: the report does not end the quarantine at control", c.name)
		}
	}
}

// isRefutedAtControl reports whether the proof ends the quarantine by crashes that control knows.
func isRefutedAtControl(lost []Attempt, proof *wire.AttemptEnd) bool {
	table := quarantiner.New(nil)
	for i, a := range lost {
		report := Report{
			Attempt: a,
			Crashed: true,
			EndedAt: start,
		}
		table.Report(100, report.ToWire(start), uint64(i+1))
	}
	before := quarantiner.Remaining(table.Find(7), 100)
	return before > 0 && table.Report(200, proof, 9) && quarantiner.Remaining(table.Find(7), 200) == 0 && table.Find(7).GetIndex() == 9
}

// TestSuspicionsAreBounded guards against memory that grows while a cut breaks all connections.
func TestSuspicionsAreBounded(t *testing.T) {
	s := New(start)
	now := start
	for i := range 3 * maxLosses {
		now = now.Add(time.Millisecond)
		for j := range 2 * maxLossAttempts {
			a := attemptIn(1, fmt.Sprint(i))
			a.Fingerprint = uint64(i*2*maxLossAttempts + j)
			s.RecordLoss(now, a)
		}
	}
	if got := s.SuspicionCount(); got > maxLosses*maxLossAttempts || len(s.suspicions.losses) != maxLosses || len(s.suspicions.unchecked) > maxLosses {
		t.Errorf("%d requests, %d losses, %d unchecked", got, len(s.suspicions.losses), len(s.suspicions.unchecked))
	}
	now = now.Add(lateProofTTL)
	s.Expire(now, now)
	if s.SuspicionCount() != 0 || len(s.suspicions.losses) != 0 || s.HasUnchecked() {
		t.Error("suspicions are kept beyond their lifetime")
	}
}
