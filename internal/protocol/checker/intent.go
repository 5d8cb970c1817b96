package checker

import (
	"math"
	"reflect"
	"strings"

	"pimentogate.example/pimentogate/pkg/wire"
)

// Intent is the file format of one requested configuration change; exactly one field is set.
type Intent struct {
	DeclareService    *ServiceIntent        `json:"declare-service,omitempty"`
	ChangeService     *ServiceIntent        `json:"change-service,omitempty"`
	SetTenantLimit    *TenantIntent         `json:"set-tenant-limit,omitempty"`
	SetUpstreamLimit  *UpstreamLimitIntent  `json:"set-upstream-limit,omitempty"`
	SetUpstreamWeight *UpstreamWeightIntent `json:"set-upstream-weight,omitempty"`
	SetUpstreamDrain  *UpstreamDrainIntent  `json:"set-upstream-drain,omitempty"`
	SetZoneDrain      *ZoneDrainIntent      `json:"set-zone-drain,omitempty"`
	AddControl        *ControlIntent        `json:"add-control,omitempty"`
	RemoveControl     *ControlIntent        `json:"remove-control,omitempty"`
}

// ServiceIntent is the desired state of a service.
type ServiceIntent struct {
	Name      string   `json:"name"`
	Shards    []string `json:"shards"`
	Coverage  float64  `json:"coverage"`
	TimeoutMs uint32   `json:"timeout-ms"`
}

// TenantIntent sets the rate limit of a tenant.
type TenantIntent struct {
	Tenant            string  `json:"tenant"`
	RequestsPerSecond float64 `json:"requests-per-second"`
	Burst             uint32  `json:"burst"`
}

// UpstreamLimitIntent limits the connections and slots used at one upstream; 0 means as announced.
type UpstreamLimitIntent struct {
	Upstream    string `json:"upstream"`
	Connections uint32 `json:"connections"`
	Slots       uint32 `json:"slots"`
}

// UpstreamWeightIntent scales the load sent to one upstream; 0 means the same as any other.
type UpstreamWeightIntent struct {
	Upstream      string `json:"upstream"`
	WeightPercent uint32 `json:"weight-percent"`
}

// UpstreamDrainIntent starts or ends the drain of one upstream.
type UpstreamDrainIntent struct {
	Upstream string `json:"upstream"`
	Drained  bool   `json:"drained"`
}

// ZoneDrainIntent starts or ends the drain of one availability zone.
type ZoneDrainIntent struct {
	Zone    string `json:"zone"`
	Drained bool   `json:"drained"`
}

// ControlIntent adds or removes a control instance; a removal needs no address.
type ControlIntent struct {
	ID      string `json:"id"`
	Address string `json:"address,omitempty"`
}

// DecodeIntent decodes an intent from JSON with comments; mistakes are returned as a MistakesError.
func DecodeIntent(source []byte) (*wire.Intent, error) {
	intent := &Intent{}
	v, err := decode(source, intent)
	if err != nil {
		return nil, err
	}
	checkIntent(v, "", intent)
	if err := v.err(); err != nil {
		return nil, err
	}
	return intent.toWire(), nil
}

// checkIntent checks that exactly one change is set and that its required fields are present and valid.
func checkIntent(v *validator, field string, intent *Intent) {
	var paths []string
	value := reflect.ValueOf(intent).Elem()
	for i, name := range jsonNames(value.Type()) {
		if !value.Field(i).IsNil() {
			paths = append(paths, joinPath(field, name))
		}
	}
	if len(paths) != 1 {
		// The file has no field of this name; the mistake gets the line and value of the object.
		v.locations[joinPath(field, "change")] = v.locations[field]
		v.addMistake(joinPath(field, "change"), "just one of "+strings.Join(jsonNames(value.Type()), ", "))
		return
	}
	switch {
	case intent.DeclareService != nil:
		checkServiceIntent(v, paths[0], intent.DeclareService)
	case intent.ChangeService != nil:
		checkServiceIntent(v, paths[0], intent.ChangeService)
	case intent.SetTenantLimit != nil:
		v.requirePresent(paths[0], "tenant", "requests-per-second", "burst")
		v.requireNonEmpty(joinPath(paths[0], "tenant"), intent.SetTenantLimit.Tenant)
		v.require(joinPath(paths[0], "requests-per-second"), intent.SetTenantLimit.RequestsPerSecond >= 0, "0 or more")
	case intent.SetUpstreamLimit != nil:
		v.requirePresent(paths[0], "upstream", "connections", "slots")
		v.requireNonEmpty(joinPath(paths[0], "upstream"), intent.SetUpstreamLimit.Upstream)
	case intent.SetUpstreamWeight != nil:
		v.requirePresent(paths[0], "upstream", "weight-percent")
		v.requireNonEmpty(joinPath(paths[0], "upstream"), intent.SetUpstreamWeight.Upstream)
	case intent.SetUpstreamDrain != nil:
		v.requirePresent(paths[0], "upstream", "drained")
		v.requireNonEmpty(joinPath(paths[0], "upstream"), intent.SetUpstreamDrain.Upstream)
	case intent.SetZoneDrain != nil:
		v.requirePresent(paths[0], "zone", "drained")
		v.requireNonEmpty(joinPath(paths[0], "zone"), intent.SetZoneDrain.Zone)
	case intent.AddControl != nil:
		v.requireNonEmpty(joinPath(paths[0], "id"), intent.AddControl.ID)
		v.requireAddress(joinPath(paths[0], "address"), intent.AddControl.Address)
	case intent.RemoveControl != nil:
		v.requireNonEmpty(joinPath(paths[0], "id"), intent.RemoveControl.ID)
	}
}

func checkServiceIntent(v *validator, field string, service *ServiceIntent) {
	v.requirePresent(field, "name", "shards", "coverage", "timeout-ms")
	v.requireNonEmpty(joinPath(field, "name"), service.Name)
	v.require(joinPath(field, "shards"), len(service.Shards) > 0, "at least one shard")
	v.require(joinPath(field, "coverage"), service.Coverage >= 0 && service.Coverage <= 1, "from 0 to 1")
	v.require(joinPath(field, "timeout-ms"), service.TimeoutMs > 0, "above 0")
}

// requirePresent records a mistake for each field absent from the file, so that an omitted field is not read as 0.
func (v *validator) requirePresent(field string, names ...string) {
	for _, name := range names {
		_, found := v.locations[joinPath(field, name)]
		v.require(joinPath(field, name), found, "a value; the field must be given")
	}
}

func (i *Intent) toWire() *wire.Intent {
	intent := &wire.Intent{}
	switch {
	case i.DeclareService != nil:
		intent.Change = &wire.Intent_DeclareService{
			DeclareService: i.DeclareService.toWire(),
		}
	case i.ChangeService != nil:
		intent.Change = &wire.Intent_ChangeService{
			ChangeService: i.ChangeService.toWire(),
		}
	case i.SetTenantLimit != nil:
		intent.Change = &wire.Intent_SetTenantLimit{
			SetTenantLimit: &wire.TenantLimit{
				Tenant:            i.SetTenantLimit.Tenant,
				RequestsPerSecond: i.SetTenantLimit.RequestsPerSecond,
				Burst:             i.SetTenantLimit.Burst,
			},
		}
	case i.SetUpstreamLimit != nil:
		intent.Change = &wire.Intent_SetUpstreamLimit{
			SetUpstreamLimit: &wire.UpstreamSetting{
				Upstream:    i.SetUpstreamLimit.Upstream,
				Connections: i.SetUpstreamLimit.Connections,
				Slots:       i.SetUpstreamLimit.Slots,
			},
		}
	case i.SetUpstreamWeight != nil:
		intent.Change = &wire.Intent_SetUpstreamWeight{
			SetUpstreamWeight: &wire.UpstreamSetting{
				Upstream:      i.SetUpstreamWeight.Upstream,
				WeightPercent: i.SetUpstreamWeight.WeightPercent,
			},
		}
	case i.SetUpstreamDrain != nil:
		intent.Change = &wire.Intent_SetUpstreamDrain{
			SetUpstreamDrain: &wire.UpstreamSetting{
				Upstream: i.SetUpstreamDrain.Upstream,
				Drained:  i.SetUpstreamDrain.Drained,
			},
		}
	case i.SetZoneDrain != nil:
		intent.Change = &wire.Intent_SetZoneDrain{
			SetZoneDrain: &wire.ZoneSetting{
				Zone:    i.SetZoneDrain.Zone,
				Drained: i.SetZoneDrain.Drained,
			},
		}
	case i.AddControl != nil:
		intent.Change = &wire.Intent_AddControl{
			AddControl: i.AddControl.toWire(),
		}
	case i.RemoveControl != nil:
		intent.Change = &wire.Intent_RemoveControl{
			RemoveControl: i.RemoveControl.toWire(),
		}
	}
	return intent
}

func (s *ServiceIntent) toWire() *wire.Service {
	return &wire.Service{
		Name:               s.Name,
		Shards:             s.Shards,
		CoverageMillionths: uint32(math.Round(s.Coverage * wire.FullCoverage)),
		TimeoutMs:          s.TimeoutMs,
	}
}

func (c *ControlIntent) toWire() *wire.ControlMember {
	return &wire.ControlMember{
		Id:      c.ID,
		Address: c.Address,
	}
}

// newIntent converts an intent to its file format.
func newIntent(intent *wire.Intent) Intent {
	switch change := intent.GetChange().(type) {
	case *wire.Intent_DeclareService:
		return Intent{
			DeclareService: newServiceIntent(change.DeclareService),
		}
	case *wire.Intent_ChangeService:
		return Intent{
			ChangeService: newServiceIntent(change.ChangeService),
		}
	case *wire.Intent_SetTenantLimit:
		return Intent{
			SetTenantLimit: &TenantIntent{
				Tenant:            change.SetTenantLimit.GetTenant(),
				RequestsPerSecond: change.SetTenantLimit.GetRequestsPerSecond(),
				Burst:             change.SetTenantLimit.GetBurst(),
			},
		}
	case *wire.Intent_SetUpstreamLimit:
		return Intent{
			SetUpstreamLimit: &UpstreamLimitIntent{
				Upstream:    change.SetUpstreamLimit.GetUpstream(),
				Connections: change.SetUpstreamLimit.GetConnections(),
				Slots:       change.SetUpstreamLimit.GetSlots(),
			},
		}
	case *wire.Intent_SetUpstreamWeight:
		return Intent{
			SetUpstreamWeight: &UpstreamWeightIntent{
				Upstream:      change.SetUpstreamWeight.GetUpstream(),
				WeightPercent: change.SetUpstreamWeight.GetWeightPercent(),
			},
		}
	case *wire.Intent_SetUpstreamDrain:
		return Intent{
			SetUpstreamDrain: &UpstreamDrainIntent{
				Upstream: change.SetUpstreamDrain.GetUpstream(),
				Drained:  change.SetUpstreamDrain.GetDrained(),
			},
		}
	case *wire.Intent_SetZoneDrain:
		return Intent{
			SetZoneDrain: &ZoneDrainIntent{
				Zone:    change.SetZoneDrain.GetZone(),
				Drained: change.SetZoneDrain.GetDrained(),
			},
		}
	case *wire.Intent_AddControl:
		return Intent{
			AddControl: newControlIntent(change.AddControl),
		}
	case *wire.Intent_RemoveControl:
		return Intent{
			RemoveControl: newControlIntent(change.RemoveControl),
		}
	default:
		return Intent{}
	}
}

func newServiceIntent(service *wire.Service) *ServiceIntent {
	return &ServiceIntent{
		Name:      service.GetName(),
		Shards:    service.GetShards(),
		Coverage:  float64(service.GetCoverageMillionths()) / wire.FullCoverage,
		TimeoutMs: service.GetTimeoutMs(),
	}
}

func newControlIntent(member *wire.ControlMember) *ControlIntent {
	return &ControlIntent{
		ID:      member.GetId(),
		Address: member.GetAddress(),
	}
}
