package subscriber

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func newSource(zone string) Source {
	return Source{
		Address: "control-" + zone,
		Zone:    zone,
	}
}

func newSources(zones ...string) []Source {
	var sources []Source
	for _, zone := range zones {
		sources = append(sources, newSource(zone))
	}
	return sources
}

// longPolledZones returns the zones of the control instances that are called with a long poll.
func longPolledZones(s *Subscriber, sources []Source) []string {
	var zones []string
	for _, source := range sources {
		if s.NextCall(source.Address).LongPoll {
			zones = append(zones, source.Zone)
		}
	}
	return zones
}

// TestSelectsOnePrimary checks that exactly one control instance is the primary while any is reachable and
// has a quorum, and that it is the one in the own availability zone if that one qualifies.
func TestSelectsOnePrimary(t *testing.T) {
	sources := newSources("a", "b", "c", "d")
	cases := []struct {
		name          string
		unreachable   []string
		withoutQuorum []string
		want          []string
	}{
		{"all healthy", nil, nil, []string{"b"}},
		{"own zone unreachable", []string{"b"}, nil, nil},
		{"own zone without a quorum", nil, []string{"b"}, nil},
		{"only one healthy", []string{"a", "b"}, []string{"c"}, []string{"d"}},
		{"none with a quorum", []string{"a"}, []string{"b", "c", "d"}, []string{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := New("entry-1", "b", newRandom())
			s.Add(sources)
			for _, source := range sources {
				if slices.Contains(c.unreachable, source.Zone) {
					s.RecordFailure(source.Address)
					continue
				}
				s.RecordAnswer(source.Address, !slices.Contains(c.withoutQuorum, source.Zone))
			}
			got := longPolledZones(s, sources)
			if c.want == nil && len(got) == 1 && got[0] != "b" {
				return
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("long polls zones %v, want %v", got, c.want)
			}
		})
	}
}

// TestPrimaryFailureIsReported checks that only the failure of the primary is reported as such, and that the
// failed instance becomes the primary again when it answers.
func TestPrimaryFailureIsReported(t *testing.T) {
	sources := newSources("a", "b")
	s := New("entry-1", "a", newRandom())
	s.Add(sources)
	for _, source := range sources {
		s.RecordAnswer(source.Address, true)
	}
	if s.RecordFailure("control-b") {
		t.Error("the failure of another instance was reported as that of the primary")
	}
	if !s.RecordFailure("control-a") {
		t.Error("the failure of the primary was not reported")
	}
	s.RecordAnswer("control-b", true)
	if got := longPolledZones(s, sources); !slices.Equal(got, []string{"b"}) {
		t.Errorf("long polls zones %v after the failure, want [b]", got)
	}
	s.RecordAnswer("control-a", true)
	if got := longPolledZones(s, sources); !slices.Equal(got, []string{"a"}) {
		t.Errorf("long polls zones %v after the recovery, want [a]", got)
	}
}

// TestPollRateIsBounded checks for several fleet sizes that a control instance is polled at most 100 times a
// second, and that in a small fleet the poll delay is at most 1 s, so that with the timeout of a call a
// partition is noticed within 1.5 s.
func TestPollRateIsBounded(t *testing.T) {
	for _, count := range []int{7, 77, 3700} {
		pollsPerSecond := 0.0
		for i := range count {
			s := New(fmt.Sprintf("entry-%d", i), "nowhere", newRandom())
			s.Add(newSources("a", "b", "c"))
			s.SetEntryInstances(count)
			for _, zone := range []string{"a", "b", "c"} {
				s.RecordAnswer("control-"+zone, true)
			}
			if call := s.NextCall("control-a"); !call.LongPoll {
				pollsPerSecond += float64(time.Second) / float64(call.Delay)
				if count < 10 && call.Delay > time.Second {
					t.Errorf("%d instances poll every %s, want at most 1s", count, call.Delay)
				}
			}
		}
		if pollsPerSecond > 100 {
			t.Errorf("%d instances poll %.0f times a second, want at most 100", count, pollsPerSecond)
		}
	}
}

// TestReplacedSourcesAreRemoved checks that control instances missing from a newer roster are removed, and
// that an older or empty roster changes nothing.
func TestReplacedSourcesAreRemoved(t *testing.T) {
	s := New("entry-1", "a", newRandom())
	s.Add(newSources("a", "b", "c"))
	change := s.ReplaceRoster(10, newSources("a", "b", "d"))
	if len(change.Added) != 1 || change.Added[0].Zone != "d" || len(change.Removed) != 1 || change.Removed[0].Zone != "c" {
		t.Errorf("newer roster: got %+v, want d added and c removed", change)
	}
	if change = s.ReplaceRoster(9, newSources("a", "b", "c")); len(change.Added)+len(change.Removed) > 0 {
		t.Errorf("older roster: got %+v, want no change", change)
	}
	if change = s.ReplaceRoster(11, nil); len(change.Added)+len(change.Removed) > 0 {
		t.Errorf("empty roster: got %+v, want no change", change)
	}
	s.RecordAnswer("control-a", true)
	if got := s.Reachability(); got.Known != 3 || got.Reached != 1 {
		t.Errorf("got %+v, want 3 known and 1 reached", got)
	}
}
