package integration

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

func TestControlCutOff(t *testing.T) {
	f := newFleet(t, topology{
		controls: 3,
		entries:  4,
		zones:    2,
		shards:   2,
		replicas: 2,
		proxied:  true,
	})
	e := f.entries[0]
	for _, c := range f.controls {
		f.cutLink(e.name, c.name)
	}
	waitFor(t, 5*time.Second, "the configuration is reported as unconfirmed", func() bool {
		answer, status := e.query("cut", 500)
		return status == http.StatusOK && answer.Coverage == 1 && !answer.ConfigConfirmed
	})
	refusal, _ := e.run("cut-key", time.Now())
	if refusal.Outcome != "not-run" || refusal.RetryAfterMs == 0 {
		t.Errorf("run while cut off from control: %+v, want not-run with a retry delay", refusal)
	}
	if runs := f.countStarts("cut-key"); runs != 0 {
		t.Errorf("answered not-run, but started %d times", runs)
	}
	for _, c := range f.controls {
		f.healLink(e.name, c.name)
	}
	waitFor(t, 10*time.Second, "a run is answered after the links are restored", func() bool {
		answer, _ := e.run("healed-key", time.Now())
		return answer.Outcome == "answered"
	})
}

func TestControlLeaderLost(t *testing.T) {
	cases := []struct {
		name        string
		injectFault func(leader *process)
		restore     func(leader *process)
	}{
		{
			name:        "killed",
			injectFault: (*process).kill,
			restore:     (*process).start,
		},
		{
			name:        "frozen",
			injectFault: (*process).freeze,
			restore:     (*process).thaw,
		},
	}
	f := newFleet(t, topology{
		controls: 3,
		entries:  4,
		zones:    2,
		shards:   2,
		replicas: 2,
	})
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			leader := f.waitLeader()
			c.injectFault(leader)
			keyTime := time.Now()
			waitFor(t, 10*time.Second, "a run is answered under the new leader", func() bool {
				answer, _ := f.entries[1].run("key-"+c.name, keyTime)
				return answer.Outcome == "answered"
			})
			c.restore(leader)
			f.applyIntent(fmt.Sprintf(`{"set-tenant-limit": {"tenant": %q, "requests-per-second": 100, "burst": 10}}`, c.name))
		})
	}
	for _, e := range f.entries {
		if status := e.terminate(); status != 0 {
			t.Errorf("%s: exit status %d on shutdown, want 0", e.name, status)
		}
	}
}
