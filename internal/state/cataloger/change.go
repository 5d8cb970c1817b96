package cataloger

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

// IntentError reports an invalid intent and the field at fault.
type IntentError struct {
	Field  string
	Value  string
	Reason string
}

// Error returns the field, its value and what is wrong with it.
func (e *IntentError) Error() string {
	return fmt.Sprintf("%s %q: %s", e.Field, e.Value, e.Reason)
}

// Digest returns the hash that binds a confirm request to the intent and the revision of its plan.
func Digest(intent *wire.Intent, revision uint64) string {
	encoded, _ := proto.MarshalOptions{
		Deterministic: true,
	}.Marshal(intent)
	sum := sha256.Sum256(binary.BigEndian.AppendUint64(encoded, revision))
	return hex.EncodeToString(sum[:])
}

// ApplyIntent returns a copy of config with the intent applied and the revision incremented, or an IntentError.
func ApplyIntent(config *wire.Config, intent *wire.Intent) (*wire.Config, error) {
	next := proto.CloneOf(config)
	if err := applyChange(next, intent); err != nil {
		return nil, err
	}
	next.Revision++
	return next, nil
}

func applyChange(c *wire.Config, intent *wire.Intent) error {
	switch change := intent.GetChange().(type) {
	case *wire.Intent_DeclareService:
		return declareService(c, change.DeclareService)
	case *wire.Intent_ChangeService:
		return changeService(c, change.ChangeService)
	case *wire.Intent_SetTenantLimit:
		return setTenantLimit(c, change.SetTenantLimit)
	case *wire.Intent_SetUpstreamLimit:
		return updateUpstream(c, change.SetUpstreamLimit, func(u *wire.UpstreamSetting) {
			u.Connections = change.SetUpstreamLimit.GetConnections()
			u.Slots = change.SetUpstreamLimit.GetSlots()
		})
	case *wire.Intent_SetUpstreamWeight:
		return updateUpstream(c, change.SetUpstreamWeight, func(u *wire.UpstreamSetting) {
			u.WeightPercent = change.SetUpstreamWeight.GetWeightPercent()
		})
	case *wire.Intent_SetUpstreamDrain:
		return updateUpstream(c, change.SetUpstreamDrain, func(u *wire.UpstreamSetting) {
			u.Drained = change.SetUpstreamDrain.GetDrained()
		})
	case *wire.Intent_SetZoneDrain:
		return setZoneDrain(c, change.SetZoneDrain)
	case *wire.Intent_AddControl:
		return setControlMember(c, change.AddControl, false)
	case *wire.Intent_RemoveControl:
		return setControlMember(c, change.RemoveControl, true)
	default:
		return &IntentError{
			Field:  "change",
			Reason: "the intent names no change",
		}
	}
}

// FindService returns the declared service of this name, or nil.
func FindService(config *wire.Config, name string) *wire.Service {
	for _, service := range config.GetServices() {
		if service.GetName() == name {
			return service
		}
	}
	return nil
}

func declareService(c *wire.Config, service *wire.Service) error {
	if FindService(c, service.GetName()) != nil {
		return &IntentError{
			Field:  "name",
			Value:  service.GetName(),
			Reason: "the service is declared already; use change-service",
		}
	}
	if err := validateService(service); err != nil {
		return err
	}
	c.Services = append(c.Services, proto.CloneOf(service))
	slices.SortFunc(c.Services, func(a, b *wire.Service) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return nil
}

func changeService(c *wire.Config, service *wire.Service) error {
	existing := FindService(c, service.GetName())
	if existing == nil {
		return &IntentError{
			Field:  "name",
			Value:  service.GetName(),
			Reason: "no such service is declared",
		}
	}
	if err := validateService(service); err != nil {
		return err
	}
	proto.Reset(existing)
	proto.Merge(existing, service)
	return nil
}

func validateService(service *wire.Service) error {
	if service.GetName() == "" {
		return &IntentError{
			Field:  "name",
			Reason: "must not be empty",
		}
	}
	if len(service.GetShards()) == 0 {
		return &IntentError{
			Field:  "shards",
			Reason: "must name at least one shard",
		}
	}
	if service.GetCoverageMillionths() > wire.FullCoverage {
		return &IntentError{
			Field:  "coverage",
			Value:  fmt.Sprint(service.GetCoverageMillionths()),
			Reason: "must be from 0 to 1",
		}
	}
	if service.GetTimeoutMs() == 0 {
		return &IntentError{
			Field:  "timeout-ms",
			Value:  "0",
			Reason: "must be above 0",
		}
	}
	return validateShards(service.GetShards())
}

func validateShards(shards []string) error {
	sorted := slices.Sorted(slices.Values(shards))
	for i, shard := range sorted {
		if shard == "" || (i > 0 && sorted[i-1] == shard) {
			return &IntentError{
				Field:  "shards",
				Value:  shard,
				Reason: "each shard must have a name of its own",
			}
		}
	}
	return nil
}

func setTenantLimit(c *wire.Config, limit *wire.TenantLimit) error {
	if limit.GetTenant() == "" {
		return &IntentError{
			Field:  "tenant",
			Reason: "must not be empty",
		}
	}
	if limit.GetRequestsPerSecond() < 0 {
		return &IntentError{
			Field:  "requests-per-second",
			Value:  fmt.Sprint(limit.GetRequestsPerSecond()),
			Reason: "must not be below 0",
		}
	}
	c.Tenants = slices.DeleteFunc(c.Tenants, func(t *wire.TenantLimit) bool { return t.GetTenant() == limit.GetTenant() })
	c.Tenants = append(c.Tenants, proto.CloneOf(limit))
	slices.SortFunc(c.Tenants, func(a, b *wire.TenantLimit) int { return cmp.Compare(a.GetTenant(), b.GetTenant()) })
	return nil
}

// FindTenant returns the limit that operators have set for the tenant, or nil.
func FindTenant(config *wire.Config, name string) *wire.TenantLimit {
	for _, tenant := range config.GetTenants() {
		if tenant.GetTenant() == name {
			return tenant
		}
	}
	return nil
}

// FindUpstream returns the setting that operators have made for the upstream, or nil.
func FindUpstream(config *wire.Config, name string) *wire.UpstreamSetting {
	for _, upstream := range config.GetUpstreams() {
		if upstream.GetUpstream() == name {
			return upstream
		}
	}
	return nil
}

func updateUpstream(c *wire.Config, setting *wire.UpstreamSetting, update func(*wire.UpstreamSetting)) error {
	if setting.GetUpstream() == "" {
		return &IntentError{
			Field:  "upstream",
			Reason: "must not be empty",
		}
	}
	existing := FindUpstream(c, setting.GetUpstream())
	if existing == nil {
		existing = &wire.UpstreamSetting{
			Upstream: setting.GetUpstream(),
		}
		c.Upstreams = append(c.Upstreams, existing)
		slices.SortFunc(c.Upstreams, func(a, b *wire.UpstreamSetting) int { return cmp.Compare(a.GetUpstream(), b.GetUpstream()) })
	}
	update(existing)
	return nil
}

// IsZoneDrained reports whether operators have drained the availability zone.
func IsZoneDrained(config *wire.Config, zone string) bool {
	return slices.ContainsFunc(config.GetZones(), func(z *wire.ZoneSetting) bool {
		return z.GetZone() == zone && z.GetDrained()
	})
}

func setZoneDrain(c *wire.Config, setting *wire.ZoneSetting) error {
	if setting.GetZone() == "" {
		return &IntentError{
			Field:  "zone",
			Reason: "must not be empty",
		}
	}
	c.Zones = slices.DeleteFunc(c.Zones, func(z *wire.ZoneSetting) bool { return z.GetZone() == setting.GetZone() })
	c.Zones = append(c.Zones, proto.CloneOf(setting))
	slices.SortFunc(c.Zones, func(a, b *wire.ZoneSetting) int { return cmp.Compare(a.GetZone(), b.GetZone()) })
	return nil
}

func setControlMember(c *wire.Config, member *wire.ControlMember, removed bool) error {
	if member.GetId() == "" {
		return &IntentError{
			Field:  "id",
			Reason: "must not be empty",
		}
	}
	if !removed && member.GetAddress() == "" {
		return &IntentError{
			Field:  "address",
			Reason: "must not be empty",
		}
	}
	// Also deletes the setting that added this address: removing an instance that has joined under a new
	// identity must end that setting too.
	c.Controls = slices.DeleteFunc(c.Controls, func(s *wire.ControlSetting) bool {
		return s.GetId() == member.GetId() || (!s.GetRemoved() && s.GetAddress() == member.GetAddress())
	})
	c.Controls = append(c.Controls, &wire.ControlSetting{
		Id:      member.GetId(),
		Address: member.GetAddress(),
		Removed: removed,
	})
	slices.SortFunc(c.Controls, func(a, b *wire.ControlSetting) int { return cmp.Compare(a.GetId(), b.GetId()) })
	return nil
}

// Summary returns a one-line description of the change that an intent makes.
func Summary(intent *wire.Intent) string {
	switch change := intent.GetChange().(type) {
	case *wire.Intent_DeclareService:
		return "declare service " + change.DeclareService.GetName()
	case *wire.Intent_ChangeService:
		return "change service " + change.ChangeService.GetName()
	case *wire.Intent_SetTenantLimit:
		return "set limit of tenant " + change.SetTenantLimit.GetTenant()
	case *wire.Intent_SetUpstreamLimit:
		return "set limit of upstream " + change.SetUpstreamLimit.GetUpstream()
	case *wire.Intent_SetUpstreamWeight:
		return "set weight of upstream " + change.SetUpstreamWeight.GetUpstream()
	case *wire.Intent_SetUpstreamDrain:
		return fmt.Sprintf("set drain of upstream %s to %t", change.SetUpstreamDrain.GetUpstream(), change.SetUpstreamDrain.GetDrained())
	case *wire.Intent_SetZoneDrain:
		return fmt.Sprintf("set drain of availability zone %s to %t", change.SetZoneDrain.GetZone(), change.SetZoneDrain.GetDrained())
	case *wire.Intent_AddControl:
		return "add control instance " + change.AddControl.GetId()
	case *wire.Intent_RemoveControl:
		return "remove control instance " + change.RemoveControl.GetId()
	default:
		return "no change"
	}
}
