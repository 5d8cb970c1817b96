package planner

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"pimentogate.example/pimentogate/internal/state/cataloger"
	"pimentogate.example/pimentogate/internal/state/journaler"
	"pimentogate.example/pimentogate/pkg/wire"
)

// testFleet returns a fleet with two replicas of shard a (weight 1) and one of shard b (weight 2), in two availability zones.
func testFleet() Fleet {
	upstream := func(name, zone, shard string) *wire.UpstreamState {
		return &wire.UpstreamState{
			Upstream:    name,
			Zone:        zone,
			Connections: 25,
			Slots:       2,
			Holdings: []*wire.Holding{{
				Service: "tenants",
				Version: 7,
				Shard:   shard,
			}},
		}
	}
	first := &wire.UpstreamSummary{
		Upstreams: []*wire.UpstreamState{upstream("u1", "east", "a"), upstream("u2", "west", "a")},
	}
	second := &wire.UpstreamSummary{
		Upstreams: []*wire.UpstreamState{upstream("u2", "west", "a"), upstream("u3", "west", "b")},
		Manifests: []*wire.Manifest{{
			Service: "tenants",
			Version: 7,
			Shards: []*wire.ShardWeight{{
				Shard:  "a",
				Weight: 1,
			}, {
				Shard:  "b",
				Weight: 2,
			}},
		}},
	}
	return NewFleet([]*wire.UpstreamSummary{first, second})
}

func testConfig() *wire.Config {
	return &wire.Config{
		Revision: 4,
		Services: []*wire.Service{{
			Name:               "tenants",
			Shards:             []string{"a", "b"},
			CoverageMillionths: 900_000,
			TimeoutMs:          300,
		}},
	}
}

func TestPlanFigures(t *testing.T) {
	drainZone := func(zone string) *wire.Intent {
		return &wire.Intent{
			Change: &wire.Intent_SetZoneDrain{
				SetZoneDrain: &wire.ZoneSetting{
					Zone:    zone,
					Drained: true,
				},
			},
		}
	}
	limit := &wire.Intent{
		Change: &wire.Intent_SetUpstreamLimit{
			SetUpstreamLimit: &wire.UpstreamSetting{
				Upstream:    "u3",
				Connections: 10,
				Slots:       1,
			},
		},
	}
	stricter := &wire.Intent{
		Change: &wire.Intent_ChangeService{
			ChangeService: &wire.Service{
				Name:               "tenants",
				Shards:             []string{"b"},
				CoverageMillionths: 700_000,
				TimeoutMs:          300,
			},
		},
	}
	cases := []struct {
		name    string
		intent  *wire.Intent
		effects []string
		warning string
	}{
		{"zone with one of two replicas", drainZone("east"), []string{"replicas that take work 3 2", "slots 6 4", "connections 75 50"}, ""},
		{"zone with all replicas of a shard", drainZone("west"), []string{"covered by upstreams 1 0.333333", "replicas of the weakest shard 1 0", "slots 6 2"}, "cover 0.333333 of the data, below the stated 0.9"},
		{"zone without upstreams", drainZone("north"), []string{"drained false true"}, ""},
		{"limit of an upstream", limit, []string{"slots 6 5", "connections 75 60"}, ""},
		{"too few shards for the required coverage", stricter, []string{"covered by upstreams 1 0.666666", "coverage 0.9 0.7"}, "cover 0.666666 of the data, below the stated 0.7"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			plan, err := New(testConfig(), nil, testFleet(), c.intent)
			if err != nil {
				t.Fatal(err)
			}
			var got []string
			for _, e := range plan.GetEffects() {
				got = append(got, e.GetFigure()+" "+e.GetBefore()+" "+e.GetAfter())
			}
			for _, want := range c.effects {
				if !slices.Contains(got, want) {
					t.Errorf("effects %q, want %q among them", got, want)
				}
			}
			warnings := strings.Join(plan.GetWarnings(), "\n")
			if (c.warning == "") != (warnings == "") || !strings.Contains(warnings, c.warning) {
				t.Errorf("warnings %q, want %q", warnings, c.warning)
			}
		})
	}
}

func TestPlanWithoutReports(t *testing.T) {
	plan, err := New(testConfig(), nil, NewFleet(nil), &wire.Intent{
		Change: &wire.Intent_SetZoneDrain{
			SetZoneDrain: &wire.ZoneSetting{
				Zone:    "east",
				Drained: true,
			},
		},
	})
	if err != nil || len(plan.GetWarnings()) != 1 {
		t.Errorf("plan %v, error %v; want one warning", plan, err)
	}
}

func TestPlanControlErrors(t *testing.T) {
	members := journaler.Members{{
		Id:      "control-1",
		Address: "127.0.0.1:7101",
	}}
	add := func(id, address string) *wire.Intent {
		return &wire.Intent{
			Change: &wire.Intent_AddControl{
				AddControl: &wire.ControlMember{
					Id:      id,
					Address: address,
				},
			},
		}
	}
	remove := func(id string) *wire.Intent {
		return &wire.Intent{
			Change: &wire.Intent_RemoveControl{
				RemoveControl: &wire.ControlMember{
					Id: id,
				},
			},
		}
	}
	cases := []struct {
		name   string
		intent *wire.Intent
		field  string
	}{
		{"ID in use", add("control-1", "127.0.0.1:7102"), "add-control.id"},
		{"address in use", add("control-2", "127.0.0.1:7101"), "add-control.address"},
		{"unknown instance", remove("control-9"), "remove-control.id"},
		{"last voter", remove("control-1"), "remove-control.id"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := New(&wire.Config{}, members, NewFleet(nil), c.intent)
			var intentErr *cataloger.IntentError
			if !errors.As(err, &intentErr) || intentErr.Field != c.field {
				t.Errorf("error %v, want an error in field %s", err, c.field)
			}
		})
	}
}
