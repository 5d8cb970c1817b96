package integration

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

func TestControlCutOff(t *testing.T) {
	f := newFleet(t, plan{
		controls: 3,
		entries:  4,
		zones:    2,
		shards:   2,
		replicas: 2,
		links:    true,
	})
	e := f.entries[0]
	for _, c := range f.controls {
		f.cut(e.name, c.name)
	}
	waitFor(t, 5*time.Second, "the configuration is no longer confirmed", func() bool {
		answer, status := e.query("cut", 500)
		return status == http.StatusOK && answer.Coverage == 1 && !answer.ConfigConfirmed
	})
	refused, _ := e.run("cut-key", time.Now())
	if refused.Outcome != "not-run" || refused.RetryAfterMs == 0 {
		t.Errorf("cut off from control: %+v", refused)
	}
	if runs := f.runsOf("cut-key"); runs != 0 {
		t.Errorf("told not-run, started %d times", runs)
	}
	for _, c := range f.controls {
		f.heal(e.name, c.name)
	}
	waitFor(t, 10*time.Second, "a run after the cut has healed", func() bool {
		answer, _ := e.run("healed-key", time.Now())
		return answer.Outcome == "answered"
	})
}

func TestControlLeaderLost(t *testing.T) {
	cases := []struct {
		name string
		lose func(leader *process)
		back func(leader *process)
	}{
		{
			name: "killed",
			lose: (*process).kill,
			back: (*process).start,
		},
		{
			name: "frozen",
			lose: (*process).freeze,
			back: (*process).thaw,
		},
	}
	f := newFleet(t, plan{
		controls: 3,
		entries:  4,
		zones:    2,
		shards:   2,
		replicas: 2,
	})
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			leader := f.leader()
			c.lose(leader)
			waitFor(t, 10*time.Second, "a run under the next leader", func() bool {
				answer, _ := f.entries[1].run("key-"+c.name, time.Now())
				return answer.Outcome == "answered"
			})
			c.back(leader)
			f.change(fmt.Sprintf(`{"set-tenant-limit": {"tenant": %q, "requests-per-second": 100, "burst": 10}}`, c.name))
		})
	}
	for _, e := range f.entries {
		if status := e.terminate(); status != 0 {
			t.Errorf("%s: shutdown ended with status %d", e.name, status)
		}
	}
}
