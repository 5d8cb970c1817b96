package planner

import (
	"fmt"
	"slices"
	"strconv"

	"pimentogate.example/pimentogate/internal/state/cataloger"
	"pimentogate.example/pimentogate/internal/state/journaler"
	"pimentogate.example/pimentogate/pkg/wire"
)

// New returns the plan of an intent against the configuration, the control instances and the upstreams, or an error for an invalid intent. It changes nothing.
func New(config *wire.Config, members journaler.Members, fleet Fleet, intent *wire.Intent) (*wire.Plan, error) {
	intent = fillRemovedAddress(intent, members)
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
	if err := planControlMembers(plan, members, intent); err != nil {
		return nil, err
	}
	plan.Effects = append(plan.Effects, settingEffects(config, next, intent)...)
	if affectsCapacity(intent) {
		planCapacity(plan, fleet, config, next)
	}
	return plan, nil
}

// affectsCapacity reports whether an intent can change the capacity of upstreams for services.
func affectsCapacity(intent *wire.Intent) bool {
	switch intent.GetChange().(type) {
	case *wire.Intent_SetTenantLimit, *wire.Intent_AddControl, *wire.Intent_RemoveControl:
		return false
	default:
		return true
	}
}

// planCapacity adds the changes of coverage and capacity to the plan. It warns of missing reports, and if the intent changes a service that then misses its required coverage.
func planCapacity(plan *wire.Plan, fleet Fleet, config, next *wire.Config) {
	if len(fleet.upstreams) == 0 && len(next.GetServices()) > 0 {
		plan.Warnings = append(plan.Warnings, "no entry instance has told of any upstream: figures of coverage and capacity are missing")
		return
	}
	if fleet.omitted > 0 {
		plan.Warnings = append(plan.Warnings, fmt.Sprintf("%d upstreams did not fit into the entry instances' summaries: figures of coverage and capacity are too low", fleet.omitted))
	}
	for _, service := range next.GetServices() {
		current := cataloger.FindService(config, service.GetName())
		after := fleet.Capacity(next, service)
		var before ServiceCapacity
		if current != nil {
			before = fleet.Capacity(config, current)
		}
		plan.Effects = append(plan.Effects, capacityEffects("service "+service.GetName(), before, after)...)
		if after.Coverage < service.GetCoverageMillionths() && (before != after || current.GetCoverageMillionths() != service.GetCoverageMillionths()) {
			plan.Warnings = append(plan.Warnings, fmt.Sprintf("service %s: upstreams would cover %g of the data, below the stated %g",
				service.GetName(), toFraction(after.Coverage), toFraction(service.GetCoverageMillionths())))
		}
	}
}

// capacityEffects returns the figures that change.
func capacityEffects(subject string, before, after ServiceCapacity) []*wire.Effect {
	figures := []*wire.Effect{
		newEffect(subject, "covered by upstreams", toFraction(before.Coverage), toFraction(after.Coverage)),
		newEffect(subject, "replicas that take work", before.Replicas, after.Replicas),
		newEffect(subject, "replicas of the weakest shard", before.MinReplicas, after.MinReplicas),
		newEffect(subject, "slots", before.Slots, after.Slots),
		newEffect(subject, "connections", before.Connections, after.Connections),
	}
	return slices.DeleteFunc(figures, func(e *wire.Effect) bool { return e.GetBefore() == e.GetAfter() })
}

// fillRemovedAddress adds the address to the removal of a control instance, since the configuration knows instances that joined later only by address.
func fillRemovedAddress(intent *wire.Intent, members journaler.Members) *wire.Intent {
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

// planControlMembers adds the steps, effects and warnings of a change of the control instances to the plan.
func planControlMembers(plan *wire.Plan, members journaler.Members, intent *wire.Intent) error {
	var after journaler.Members
	switch change := intent.GetChange().(type) {
	case *wire.Intent_AddControl:
		added := change.AddControl
		if err := checkAddControl(members, added); err != nil {
			return err
		}
		plan.Steps = append(plan.Steps,
			"wait until an instance with an empty data folder asks to join from "+added.GetAddress(),
			"give it a vote once it holds all that is committed")
		after = members.With(added)
	case *wire.Intent_RemoveControl:
		removed := change.RemoveControl
		if err := checkRemoveControl(members, removed); err != nil {
			return err
		}
		plan.Steps = append(plan.Steps, "take the vote of "+removed.GetId()+" away; then stop its process")
		after = members.Without(removed.GetId())
	default:
		return nil
	}
	plan.Effects = append(plan.Effects,
		newEffect("control", "instances with a vote", members.VoterCount(), after.VoterCount()),
		newEffect("control", "losses that are tolerated", members.ToleratedFailures(), after.ToleratedFailures()))
	if after.VoterCount()%2 == 0 {
		plan.Warnings = append(plan.Warnings, fmt.Sprintf("%d instances with a vote tolerate no more losses than %d; change one more", after.VoterCount(), after.VoterCount()-1))
	}
	return nil
}

func checkAddControl(members journaler.Members, added *wire.ControlMember) error {
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

func checkRemoveControl(members journaler.Members, removed *wire.ControlMember) error {
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
			newEffect("tenant "+name, "requests-per-second", before.GetRequestsPerSecond(), after.GetRequestsPerSecond()),
			newEffect("tenant "+name, "burst", before.GetBurst(), after.GetBurst()),
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
			newEffect("availability zone "+zone, "drained", cataloger.IsZoneDrained(config, zone), cataloger.IsZoneDrained(next, zone)),
		}
	default:
		return nil
	}
}

func serviceEffects(config, next *wire.Config, name string) []*wire.Effect {
	before, after := cataloger.FindService(config, name), cataloger.FindService(next, name)
	subject := "service " + name
	return []*wire.Effect{
		newEffect(subject, "shards", len(before.GetShards()), len(after.GetShards())),
		newEffect(subject, "coverage", toFraction(before.GetCoverageMillionths()), toFraction(after.GetCoverageMillionths())),
		newEffect(subject, "timeout-ms", before.GetTimeoutMs(), after.GetTimeoutMs()),
	}
}

func upstreamEffects(config, next *wire.Config, name string) []*wire.Effect {
	before, after := cataloger.FindUpstream(config, name), cataloger.FindUpstream(next, name)
	subject := "upstream " + name
	return []*wire.Effect{
		newEffect(subject, "connections", formatSetting(before.GetConnections()), formatSetting(after.GetConnections())),
		newEffect(subject, "slots", formatSetting(before.GetSlots()), formatSetting(after.GetSlots())),
		newEffect(subject, "weight-percent", formatSetting(before.GetWeightPercent()), formatSetting(after.GetWeightPercent())),
		newEffect(subject, "drained", before.GetDrained(), after.GetDrained()),
	}
}

// formatSetting returns the operator's setting, or "as announced" if there is none and the upstream's announcement applies.
func formatSetting(value uint32) string {
	if value == 0 {
		return "as announced"
	}
	return strconv.FormatUint(uint64(value), 10)
}

func toFraction(millionths uint32) float64 { return float64(millionths) / wire.FullCoverage }

func newEffect(subject, figure string, before, after any) *wire.Effect {
	return &wire.Effect{
		Subject: subject,
		Figure:  figure,
		Before:  fmt.Sprint(before),
		After:   fmt.Sprint(after),
	}
}
