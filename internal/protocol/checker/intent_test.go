package checker

import (
	"encoding/json"
	"errors"
	"testing"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

var allIntents = []string{
	`{"declare-service": {"name": "tenants", "shards": ["a", "b"], "coverage": 0.999999, "timeout-ms": 300}}`,
	`{"change-service": {"name": "tenants", "shards": ["a"], "coverage": 0, "timeout-ms": 1}}`,
	`{"set-tenant-limit": {"tenant": "kvali", "requests-per-second": 0.5, "burst": 0}}`,
	`{"set-upstream-limit": {"upstream": "u", "connections": 25, "slots": 2}}`,
	`{"set-upstream-weight": {"upstream": "u", "weight-percent": 50}}`,
	`{"set-upstream-drain": {"upstream": "u", "drained": true}}`,
	`{"set-zone-drain": {"zone": "z", "drained": false}}`,
	`{"add-control": {"id": "control-4", "address": "127.0.0.1:7104"}}`,
	`{"remove-control": {"id": "control-4"}}`,
}

// TestPlanFileKeepsIntent checks that every kind of intent survives the round trip through a plan file, so that the confirmed change is the planned one.
func TestPlanFileKeepsIntent(t *testing.T) {
	for _, source := range allIntents {
		intent, err := DecodeIntent([]byte(source))
		if err != nil {
			t.Errorf("%s: %s", source, err)
			continue
		}
		file, err := json.Marshal(NewPlan(&wire.Plan{
			Intent:   intent,
			Revision: 7,
			Digest:   "d",
			Steps:    []string{"step"},
		}))
		if err != nil {
			t.Fatal(err)
		}
		plan, err := DecodePlan(file)
		if err != nil || !proto.Equal(plan.GetIntent(), intent) || plan.GetRevision() != 7 {
			t.Errorf("%s: decoded as %v, error %v", file, plan, err)
		}
	}
}

func TestIntentMistakes(t *testing.T) {
	cases := []struct {
		name   string
		source string
		line   int
		field  string
	}{
		{"not JSON", `{`, 1, "file"},
		{"no change", `{}`, 1, "change"},
		{"two changes", `{"set-zone-drain": {"zone": "z", "drained": true}, "remove-control": {"id": "c"}}`, 1, "change"},
		{"camel-case field", `{"declareService": {}, "set-zone-drain": {"zone": "z", "drained": true}}`, 1, "declareService"},
		{"unknown field", "{\n// why\n\"set-zone-drain\": {\"zone\": \"z\", \"drained\": true,\n\"drain\": true}}", 4, "set-zone-drain.drain"},
		{"missing field", `{"set-zone-drain": {"zone": "z"}}`, 1, "set-zone-drain.drained"},
		{"wrong type", "{\"set-tenant-limit\": {\"tenant\": \"k\",\n\"requests-per-second\": \"7\", \"burst\": 1}}", 2, "set-tenant-limit.requests-per-second"},
		{"below 0", `{"set-tenant-limit": {"tenant": "k", "requests-per-second": -1, "burst": 1}}`, 1, "set-tenant-limit.requests-per-second"},
		{"coverage above 1", `{"change-service": {"name": "s", "shards": ["a"], "coverage": 1.1, "timeout-ms": 1}}`, 1, "change-service.coverage"},
		{"no shards", `{"declare-service": {"name": "s", "shards": [], "coverage": 1, "timeout-ms": 1}}`, 1, "declare-service.shards"},
		{"no address", `{"add-control": {"id": "c"}}`, 1, "add-control.address"},
		{"negative count", `{"set-upstream-limit": {"upstream": "u", "connections": -1, "slots": 2}}`, 1, "set-upstream-limit.connections"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := DecodeIntent([]byte(c.source))
			var mistakes *MistakesError
			if !errors.As(err, &mistakes) || len(mistakes.Mistakes) != 1 || mistakes.Mistakes[0].Field != c.field || mistakes.Mistakes[0].Line != c.line || mistakes.Mistakes[0].Allowed == "" {
				t.Errorf("got error %v, want one mistake at line %d, field %s", err, c.line, c.field)
			}
		})
	}
}
