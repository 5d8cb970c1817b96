package subscriber

import (
	"testing"
	"time"
)

// TestStartCalls checks that an instance without a state spreads its calls over the control instances, calls ever more rarely, and waits as long as a refusal says, but not longer if another control instance has not refused.
func TestStartCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New("entry-1", "a", newRandom())
	if _, ok := s.NextStartCall(now); ok {
		t.Error("a call without a control instance")
	}
	s.Add(newSources("a", "b"))
	first, _ := s.NextStartCall(now)
	if first.Delay != 0 {
		t.Errorf("the first call is delayed by %s", first.Delay)
	}
	s.RecordRefusal(now, first.Address, 5*time.Second)
	second, _ := s.NextStartCall(now)
	if second.Address == first.Address || second.Delay > minStartDelay {
		t.Errorf("calls %+v after a refusal of %s, want the other one within %s", second, first.Address, minStartDelay)
	}
	third, _ := s.NextStartCall(now)
	if third.Address == first.Address {
		t.Error("calls an instance again before the time that its refusal gave")
	}
	s.RecordRefusal(now, second.Address, 3*time.Second)
	if fourth, _ := s.NextStartCall(now); fourth.Address != second.Address || fourth.Delay != 3*time.Second {
		t.Errorf("calls %+v after refusals of all, want %s after 3s", fourth, second.Address)
	}
	calls, at := map[string]int{}, now.Add(10*time.Second)
	for range 20 {
		call, _ := s.NextStartCall(at)
		calls[call.Address]++
		if call.Delay > maxStartDelay {
			t.Errorf("a call is delayed by %s", call.Delay)
		}
	}
	if calls["control-a"] < 8 || calls["control-b"] < 8 {
		t.Errorf("calls %v, want about half of them at each", calls)
	}
}

// TestRetriesBackOff guards against entry instances that all poll every control instance at the shortest interval while there is no leader.
func TestRetriesBackOff(t *testing.T) {
	s := New("entry-1", "a", newRandom())
	s.Add(newSources("a"))
	total := time.Duration(0)
	for range 10 {
		s.RecordAnswer("control-a", false)
		total += s.NextCall("control-a").Delay
	}
	if total < 4*time.Second || total > 10*maxRetryDelay {
		t.Errorf("ten retries take %s, want 4 s to 8 s", total)
	}
	s.RecordAnswer("control-a", true)
	s.RecordFailure("control-a")
	if delay := s.NextCall("control-a").Delay; delay != minRetryDelay {
		t.Errorf("the first retry after a confirmed answer is delayed by %s, want %s", delay, minRetryDelay)
	}
}
