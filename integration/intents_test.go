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
	f := newFleet(t, topology{
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
	waitFor(t, readyTimeout, "the plan counts the announced upstreams", func() bool {
		return hasEffect(f.planIntent(`{"set-zone-drain": {"zone": "zone-0", "drained": true}}`), "covered by upstreams 1 0")
	})
	revision := f.controls[0].status().GetRevision()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			planned := f.planIntent(c.intent)
			if !hasEffect(planned, c.effect) || planned.Revision != revision {
				t.Errorf("plan %+v, want effect %q against revision %d", planned, c.effect, revision)
			}
			if got := f.controls[0].status().GetRevision(); got != revision {
				t.Errorf("planning changed the revision to %d", got)
			}
			f.applyIntent(c.intent)
			revision++
			if got := f.controls[0].status().GetRevision(); got != revision {
				t.Errorf("revision %d, want %d", got, revision)
			}
		})
	}
	f.waitRevisionReported(revision)
	// Confirming an outdated plan is refused, and the answer lists the changes since.
	stalePlanFile := filepath.Join(f.dir, "plan.json")
	refused := string(f.runCommand(1, "confirm", "-control", f.controlFlag(), stalePlanFile))
	if !strings.Contains(refused, `"changed-since"`) || !strings.Contains(refused, "zone-0") {
		t.Errorf("confirm of an outdated plan printed %s, want the changes since", refused)
	}
	var status struct {
		Revision uint64 `json:"revision"`
		InForce  int    `json:"in-force"`
		Leader   string `json:"leader"`
	}
	must(t, json.Unmarshal(f.runCommand(0, "status", "-json", "-control", f.controlFlag()), &status))
	if status.Revision != revision || status.Leader != "control-0" {
		t.Errorf("status %+v, want revision %d and leader control-0", status, revision)
	}
	if table := string(f.runCommand(0, "status", "-control", f.controlFlag())); !strings.Contains(table, "entry-0") || !strings.Contains(table, "leader") {
		t.Errorf("status table:\n%s", table)
	}
}

// planIntent plans an intent through the command line and returns the printed plan.
func (f *fleet) planIntent(intent string) checker.Plan {
	f.t.Helper()
	path := filepath.Join(f.dir, "intent-to-plan.json")
	must(f.t, os.WriteFile(path, []byte(intent), 0o600))
	var planned checker.Plan
	must(f.t, json.Unmarshal(f.runCommand(0, "plan", "-control", f.controlFlag(), path), &planned))
	return planned
}

func hasEffect(planned checker.Plan, want string) bool {
	for _, e := range planned.Effects {
		if e.Figure+" "+e.Before+" "+e.After == want {
			return true
		}
	}
	return false
}

// waitRevisionReported waits until control reports the revision as in force at every entry instance.
func (f *fleet) waitRevisionReported(revision uint64) {
	f.t.Helper()
	waitFor(f.t, inForceTimeout, "control reports the revision as in force", func() bool {
		instances := f.controls[0].status().GetInstances()
		for _, instance := range instances {
			if instance.GetRevision() != revision {
				return false
			}
		}
		return len(instances) == len(f.entries)
	})
}

// TestAddAndRemoveControl grows control from one to three instances by plans, kills the first instance and removes it.
func TestAddAndRemoveControl(t *testing.T) {
	f := newFleet(t, topology{
		controls: 1,
		entries:  1,
		zones:    1,
		shards:   1,
		replicas: 1,
	})
	first := f.controls[0]
	second := f.newProcess("control", 1, "pimentogate")
	third := f.newProcess("control", 2, "pimentogate")
	f.controls = append(f.controls, second, third)
	f.writeControlSettings(second)
	f.writeControlSettings(third)
	intent := func(p *process) string {
		return `{"add-control": {"id": "` + p.name + `", "address": "` + p.address + `"}}`
	}
	if planned := f.planIntent(intent(second)); !hasEffect(planned, "instances with a vote 1 2") || len(planned.Warnings) != 1 {
		t.Errorf("plan %+v, want the change from 1 to 2 voters and a warning", planned)
	}
	for i, p := range []*process{second, third} {
		f.applyIntent(intent(p))
		p.start()
		waitFor(t, readyTimeout, p.name+" has a vote", func() bool {
			return isVoter(first.status(), p.status().GetInstance())
		})
		if got := countVoters(first); got != i+2 {
			t.Errorf("%d voters, want %d", got, i+2)
		}
	}
	// Three instances tolerate the loss of one.
	firstID := first.status().GetInstance()
	first.kill()
	f.applyIntent(`{"remove-control": {"id": "` + firstID + `"}}`)
	waitFor(t, readyTimeout, "the killed instance is removed", func() bool {
		return !isMember(third.status(), firstID) && countVoters(third) == 2
	})
	f.runCommand(2, "plan", "-control", f.controlFlag(), filepath.Join(f.dir, "no such file"))
}

func countVoters(p *process) int {
	count := 0
	for _, member := range p.status().GetMembers() {
		if !member.GetLearner() {
			count++
		}
	}
	return count
}
