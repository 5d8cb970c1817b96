package controller

import (
	"fmt"
	"testing"
	"time"

	"pimentogate.example/pimentogate/pkg/wire"
)

// TestEntriesAreListedOnceSettled guards against lists that lack most entry instances, and against fleets that wait for one for as long as a follower counts.
func TestEntriesAreListedOnceSettled(t *testing.T) {
	f := newFollowers()
	start := f.startTime
	call := func(at time.Duration, instance int) int {
		return f.record(start.Add(at), &wire.EntryInstance{
			Instance: fmt.Sprintf("entry-%02d", instance),
		})
	}
	for i := range 8 {
		call(time.Duration(i)*100*time.Millisecond, i)
	}
	cases := []struct {
		at   time.Duration
		want int
	}{
		{900 * time.Millisecond, 0},
		{1190 * time.Millisecond, 0},
		{1210 * time.Millisecond, 8},
	}
	for _, c := range cases {
		if got := len(f.entries(start.Add(c.at))); got != c.want {
			t.Errorf("%d instances listed after %s, want %d", got, c.at, c.want)
		}
	}
	if count := call(1300*time.Millisecond, 8); count != 0 || f.entries(start.Add(1300*time.Millisecond)) != nil {
		t.Errorf("listed or counted (%d) right after a new instance has called", count)
	}
	if got := len(f.entries(start.Add(followerTTL))); got != 9 {
		t.Errorf("%d instances listed after %s, want 9", got, followerTTL)
	}
}
