package integration

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pimentogate.example/pimentogate/internal/protocol/checker"
)

func TestEveryIntent(t *testing.T) {
	f := newFleet(t, plan{
		controls: 1,
		entries:  1,
		zones:    1,
		shards:   1,
		replicas: 1,
	})
	cases := []struct {
		name   string
		intent string
		effect string
	}{
		{"declare a service", `{"declare-service": {"name": "more", "shards": ["a"], "coverage": 0.9, "timeout-ms": 50}}`, "coverage 0 0.9"},
		{"change it", `{"change-service": {"name": "more", "shards": ["a", "b"], "coverage": 0.8, "timeout-ms": 50}}`, "coverage 0.9 0.8"},
		{"tenant's limit", `{"set-tenant-limit": {"tenant": "kvali", "requests-per-second": 9, "burst": 3}}`, "requests-per-second 0 9"},
		{"upstream's limit", `{"set-upstream-limit": {"upstream": "standin-0", "connections": 20, "slots": 2}}`, "connections 25 20"},
		{"upstream's weight", `{"set-upstream-weight": {"upstream": "standin-0", "weight-percent": 50}}`, "weight-percent as announced 50"},
		{"upstream's drain", `{"set-upstream-drain": {"upstream": "standin-0", "drained": true}}`, "covered by upstreams 1 0"},
		{"zone's drain", `{"set-zone-drain": {"zone": "zone-0", "drained": true}}`, "drained false true"},
	}
	waitFor(t, readyLimit, "a plan with the figures of the upstreams", func() bool {
		return hasEffect(f.planFile(`{"set-zone-drain": {"zone": "zone-0", "drained": true}}`), "covered by upstreams 1 0")
	})
	revision := f.controls[0].status().GetRevision()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			planned := f.planFile(c.intent)
			if !hasEffect(planned, c.effect) || planned.Revision != revision {
				t.Errorf("plan %+v, want effect %q against revision %d", planned, c.effect, revision)
			}
			if now := f.controls[0].status().GetRevision(); now != revision {
				t.Errorf("the plan alone moved the revision to %d", now)
			}
			f.change(c.intent)
			revision++
			if now := f.controls[0].status().GetRevision(); now != revision {
				t.Errorf("revision %d, want %d", now, revision)
			}
		})
	}
	f.waitRevision(revision)
	// A plan that is out of date is refused with what changed.
	stale := filepath.Join(f.folder, "plan.json")
	refused := string(f.operate(1, "confirm", "-control", f.controlAddresses(), stale))
	if !strings.Contains(refused, `"changed-since"`) || !strings.Contains(refused, "zone-0") {
		t.Errorf("a stale confirm was told %s", refused)
	}
	var printed struct {
		Revision uint64 `json:"revision"`
		InForce  int    `json:"in-force"`
		Leader   string `json:"leader"`
	}
	check(t, json.Unmarshal(f.operate(0, "status", "-json", "-control", f.controlAddresses()), &printed))
	if printed.Revision != revision || printed.Leader != "control-0" {
		t.Errorf("status %+v, want revision %d and leader control-0", printed, revision)
	}
	if table := string(f.operate(0, "status", "-control", f.controlAddresses())); !strings.Contains(table, "entry-0") || !strings.Contains(table, "leader") {
		t.Errorf("status table:\n%s", table)
	}
}

// planFile plans an intent and returns the plan as it is printed.
func (f *fleet) planFile(intent string) checker.Plan {
	f.t.Helper()
	path := filepath.Join(f.folder, "intent-to-plan.json")
	check(f.t, os.WriteFile(path, []byte(intent), 0o600))
	var planned checker.Plan
	check(f.t, json.Unmarshal(f.operate(0, "plan", "-control", f.controlAddresses(), path), &planned))
	return planned
}

func hasEffect(planned checker.Plan, wanted string) bool {
	for _, e := range planned.Effects {
		if e.Figure+" "+e.Before+" "+e.After == wanted {
			return true
		}
	}
	return false
}

// waitRevision waits until control has seen the revision in force at every entry instance.
func (f *fleet) waitRevision(revision uint64) {
	f.t.Helper()
	waitFor(f.t, inForceLimit, "the revision is seen in force", func() bool {
		instances := f.controls[0].status().GetInstances()
		for _, instance := range instances {
			if instance.GetRevision() != revision {
				return false
			}
		}
		return len(instances) == len(f.entries)
	})
}

// TestAddAndRemoveControl grows the control instances from one to two by a plan and takes the new one out again.
func TestAddAndRemoveControl(t *testing.T) {
	f := newFleet(t, plan{
		controls: 1,
		entries:  1,
		zones:    1,
		shards:   1,
		replicas: 1,
	})
	first := f.controls[0]
	added := f.place("control", 1, "pimentogate")
	third := f.place("control", 2, "pimentogate")
	f.controls = append(f.controls, added, third)
	f.settleControl(added)
	f.settleControl(third)
	intent := func(p *process) string {
		return `{"add-control": {"id": "` + p.name + `", "address": "` + p.address + `"}}`
	}
	if planned := f.planFile(intent(added)); !hasEffect(planned, "instances with a vote 1 2") || len(planned.Warnings) != 1 {
		t.Errorf("plan %+v, want the votes and a warning", planned)
	}
	for i, p := range []*process{added, third} {
		f.change(intent(p))
		p.start()
		waitFor(t, readyLimit, p.name+" has a vote", func() bool {
			return isVoter(first.status(), p.status().GetInstance())
		})
		if got := voters(first); got != i+2 {
			t.Errorf("%d votes, want %d", got, i+2)
		}
	}
	// With three, one may be lost.
	identity := first.status().GetInstance()
	first.kill()
	f.change(`{"remove-control": {"id": "` + identity + `"}}`)
	waitFor(t, readyLimit, "the lost instance has left", func() bool {
		return !isMember(third.status(), identity) && voters(third) == 2
	})
	f.operate(2, "plan", "-control", f.controlAddresses(), filepath.Join(f.folder, "no such file"))
}

func voters(p *process) int {
	count := 0
	for _, member := range p.status().GetMembers() {
		if !member.GetLearner() {
			count++
		}
	}
	return count
}
