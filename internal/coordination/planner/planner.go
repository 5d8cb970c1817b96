package planner

import (
	"fmt"
	"slices"
	"strconv"

	"pimentogate.example/pimentogate/internal/state/cataloger"
	"pimentogate.example/pimentogate/internal/state/journaler"
	"pimentogate.example/pimentogate/pkg/wire"
)

// New returns the plan of an intent against the configuration, the control instances and the upstreams, or the intent's mistake; nothing changes.
func New(config *wire.Config, members journaler.Members, fleet Fleet, intent *wire.Intent) (*wire.Plan, error) {
	intent = withAddress(intent, members)
	next, err := cataloger.ApplyIntent(config, intent)
	if err != nil {
		return nil, err
	}
	plan := &wire.Plan{
		Intent:   intent,
		Revision: config.GetRevision(),
		Digest:   cataloger.Digest(intent, config.GetRevision()),
		Steps: []string{
			cataloger.Summary(intent),
			fmt.Sprintf("put revision %d in force on every entry instance", next.GetRevision()),
		},
	}
	if err := planControl(plan, members, intent); err != nil {
		return nil, err
	}
	plan.Effects = append(plan.Effects, settingEffects(config, next, intent)...)
	if movesWork(intent) {
		planStrength(plan, fleet, config, next)
	}
	return plan, nil
}

// movesWork reports whether an intent changes what upstreams do for services.
func movesWork(intent *wire.Intent) bool {
	switch intent.GetChange().(type) {
	case *wire.Intent_SetTenantLimit, *wire.Intent_AddControl, *wire.Intent_RemoveControl:
		return false
	default:
		return true
	}
}

// planStrength adds what becomes of coverage and capacity, and warns where a service's stated coverage would be missed.
func planStrength(plan *wire.Plan, fleet Fleet, config, next *wire.Config) {
	if len(fleet.upstreams) == 0 && len(next.GetServices()) > 0 {
		plan.Warnings = append(plan.Warnings, "no entry instance has told of any upstream: figures of coverage and capacity are missing")
		return
	}
	if fleet.leftOut > 0 {
		plan.Warnings = append(plan.Warnings, fmt.Sprintf("%d upstreams did not fit into the entry instances' summaries: figures of coverage and capacity are too low", fleet.leftOut))
	}
	for _, service := range next.GetServices() {
		known := cataloger.FindService(config, service.GetName())
		after := fleet.Strength(next, service)
		var before Strength
		if known != nil {
			before = fleet.Strength(config, known)
		}
		plan.Effects = append(plan.Effects, strengthEffects("service "+service.GetName(), before, after)...)
		if after.Coverage < service.GetCoverageMillionths() && (before != after || known.GetCoverageMillionths() != service.GetCoverageMillionths()) {
			plan.Warnings = append(plan.Warnings, fmt.Sprintf("service %s: upstreams would cover %g of the data, below the stated %g",
				service.GetName(), share(after.Coverage), share(service.GetCoverageMillionths())))
		}
	}
}

// strengthEffects returns the figures that change.
func strengthEffects(subject string, before, after Strength) []*wire.Effect {
	figures := []*wire.Effect{
		effect(subject, "covered by upstreams", share(before.Coverage), share(after.Coverage)),
		effect(subject, "replicas that take work", before.Replicas, after.Replicas),
		effect(subject, "replicas of the weakest shard", before.FewestReplicas, after.FewestReplicas),
		effect(subject, "slots", before.Slots, after.Slots),
		effect(subject, "connections", before.Connections, after.Connections),
	}
	return slices.DeleteFunc(figures, func(e *wire.Effect) bool { return e.GetBefore() == e.GetAfter() })
}

// withAddress completes the removal of a control instance by its address, since the configuration knows instances that joined later by just that.
func withAddress(intent *wire.Intent, members journaler.Members) *wire.Intent {
	removed := members.Find(intent.GetRemoveControl().GetId())
	if removed == nil {
		return intent
	}
	return &wire.Intent{
		Change: &wire.Intent_RemoveControl{
			RemoveControl: &wire.ControlMember{
				Id:      removed.GetId(),
				Address: removed.GetAddress(),
			},
		},
	}
}

// planControl adds what becomes of the control instances.
func planControl(plan *wire.Plan, members journaler.Members, intent *wire.Intent) error {
	var after journaler.Members
	switch change := intent.GetChange().(type) {
	case *wire.Intent_AddControl:
		added := change.AddControl
		if err := checkAdded(members, added); err != nil {
			return err
		}
		plan.Steps = append(plan.Steps,
			"wait until an instance with an empty data folder asks to join from "+added.GetAddress(),
			"give it a vote once it holds all that is committed")
		after = members.With(added)
	case *wire.Intent_RemoveControl:
		removed := change.RemoveControl
		if err := checkRemoved(members, removed); err != nil {
			return err
		}
		plan.Steps = append(plan.Steps, "take the vote of "+removed.GetId()+" away; then stop its process")
		after = members.Without(removed.GetId())
	default:
		return nil
	}
	plan.Effects = append(plan.Effects,
		effect("control", "instances with a vote", members.VoterCount(), after.VoterCount()),
		effect("control", "losses that are tolerated", members.ToleratedFailures(), after.ToleratedFailures()))
	if after.VoterCount()%2 == 0 {
		plan.Warnings = append(plan.Warnings, fmt.Sprintf("%d instances with a vote tolerate no more losses than %d; change one more", after.VoterCount(), after.VoterCount()-1))
	}
	return nil
}

func checkAdded(members journaler.Members, added *wire.ControlMember) error {
	for _, member := range members {
		if member.GetId() == added.GetId() {
			return &cataloger.IntentError{
				Field:  "add-control.id",
				Value:  added.GetId(),
				Reason: "is a control instance already",
			}
		}
		if member.GetAddress() == added.GetAddress() {
			return &cataloger.IntentError{
				Field:  "add-control.address",
				Value:  added.GetAddress(),
				Reason: "is that of control instance " + member.GetId(),
			}
		}
	}
	return nil
}

func checkRemoved(members journaler.Members, removed *wire.ControlMember) error {
	if members.Find(removed.GetId()) == nil {
		return &cataloger.IntentError{
			Field:  "remove-control.id",
			Value:  removed.GetId(),
			Reason: "is no control instance; pimentogate status lists them",
		}
	}
	if members.IsVoter(removed.GetId()) && members.VoterCount() == 1 {
		return &cataloger.IntentError{
			Field:  "remove-control.id",
			Value:  removed.GetId(),
			Reason: "is the last instance with a vote",
		}
	}
	return nil
}

// settingEffects returns the figures that the intent itself sets, before and after.
func settingEffects(config, next *wire.Config, intent *wire.Intent) []*wire.Effect {
	switch change := intent.GetChange().(type) {
	case *wire.Intent_DeclareService:
		return serviceEffects(config, next, change.DeclareService.GetName())
	case *wire.Intent_ChangeService:
		return serviceEffects(config, next, change.ChangeService.GetName())
	case *wire.Intent_SetTenantLimit:
		name := change.SetTenantLimit.GetTenant()
		before, after := cataloger.FindTenant(config, name), cataloger.FindTenant(next, name)
		return []*wire.Effect{
			effect("tenant "+name, "requests-per-second", before.GetRequestsPerSecond(), after.GetRequestsPerSecond()),
			effect("tenant "+name, "burst", before.GetBurst(), after.GetBurst()),
		}
	case *wire.Intent_SetUpstreamLimit:
		return upstreamEffects(config, next, change.SetUpstreamLimit.GetUpstream())
	case *wire.Intent_SetUpstreamWeight:
		return upstreamEffects(config, next, change.SetUpstreamWeight.GetUpstream())
	case *wire.Intent_SetUpstreamDrain:
		return upstreamEffects(config, next, change.SetUpstreamDrain.GetUpstream())
	case *wire.Intent_SetZoneDrain:
		zone := change.SetZoneDrain.GetZone()
		return []*wire.Effect{
			effect("availability zone "+zone, "drained", cataloger.IsZoneDrained(config, zone), cataloger.IsZoneDrained(next, zone)),
		}
	default:
		return nil
	}
}

func serviceEffects(config, next *wire.Config, name string) []*wire.Effect {
	before, after := cataloger.FindService(config, name), cataloger.FindService(next, name)
	subject := "service " + name
	return []*wire.Effect{
		effect(subject, "shards", len(before.GetShards()), len(after.GetShards())),
		effect(subject, "coverage", share(before.GetCoverageMillionths()), share(after.GetCoverageMillionths())),
		effect(subject, "timeout-ms", before.GetTimeoutMs(), after.GetTimeoutMs()),
	}
}

func upstreamEffects(config, next *wire.Config, name string) []*wire.Effect {
	before, after := cataloger.FindUpstream(config, name), cataloger.FindUpstream(next, name)
	subject := "upstream " + name
	return []*wire.Effect{
		effect(subject, "connections", asSet(before.GetConnections()), asSet(after.GetConnections())),
		effect(subject, "slots", asSet(before.GetSlots()), asSet(after.GetSlots())),
		effect(subject, "weight-percent", asSet(before.GetWeightPercent()), asSet(after.GetWeightPercent())),
		effect(subject, "drained", before.GetDrained(), after.GetDrained()),
	}
}

// asSet names the absence of an operator's setting, where the upstream's own announcement holds.
func asSet(value uint32) string {
	if value == 0 {
		return "as announced"
	}
	return strconv.FormatUint(uint64(value), 10)
}

func share(millionths uint32) float64 { return float64(millionths) / wire.CoverageWhole }

func effect(subject, figure string, before, after any) *wire.Effect {
	return &wire.Effect{
		Subject: subject,
		Figure:  figure,
		Before:  fmt.Sprint(before),
		After:   fmt.Sprint(after),
	}
}
