package checker

import (
	"math"
	"reflect"
	"strings"

	"pimentogate.example/pimentogate/pkg/wire"
)

// Intent is the file of one change that an operator wants; one field is set.
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

// ServiceIntent is a service as it is to be.
type ServiceIntent struct {
	Name      string   `json:"name"`
	Shards    []string `json:"shards"`
	Coverage  float64  `json:"coverage"`
	TimeoutMs uint32   `json:"timeout-ms"`
}

// TenantIntent is a tenant's limit.
type TenantIntent struct {
	Tenant            string  `json:"tenant"`
	RequestsPerSecond float64 `json:"requests-per-second"`
	Burst             uint32  `json:"burst"`
}

// UpstreamLimitIntent bounds the connections and slots used of one upstream; 0 means as announced.
type UpstreamLimitIntent struct {
	Upstream    string `json:"upstream"`
	Connections uint32 `json:"connections"`
	Slots       uint32 `json:"slots"`
}

// UpstreamWeightIntent scales the work that one upstream is given; 0 means as any other.
type UpstreamWeightIntent struct {
	Upstream      string `json:"upstream"`
	WeightPercent uint32 `json:"weight-percent"`
}

// UpstreamDrainIntent drains one upstream, or ends its drain.
type UpstreamDrainIntent struct {
	Upstream string `json:"upstream"`
	Drained  bool   `json:"drained"`
}

// ZoneDrainIntent drains one availability zone, or ends its drain.
type ZoneDrainIntent struct {
	Zone    string `json:"zone"`
	Drained bool   `json:"drained"`
}

// ControlIntent is a control instance to be added or removed; a removal needs no address.
type ControlIntent struct {
	ID      string `json:"id"`
	Address string `json:"address,omitempty"`
}

// DecodeIntent reads an intent from JSON with comments; mistakes come as a MistakesError.
func DecodeIntent(source []byte) (*wire.Intent, error) {
	intent := &Intent{}
	w, err := decode(source, intent)
	if err != nil {
		return nil, err
	}
	checkIntent(w, "", intent)
	if err := w.err(); err != nil {
		return nil, err
	}
	return intent.wire(), nil
}

// checkIntent holds that one change is named, with every field that it must say.
func checkIntent(w *walker, field string, intent *Intent) {
	var named []string
	value := reflect.ValueOf(intent).Elem()
	for i, name := range fieldNames(value.Type()) {
		if !value.Field(i).IsNil() {
			named = append(named, join(field, name))
		}
	}
	if len(named) != 1 {
		w.places[join(field, "change")] = w.places[field]
		w.complain(join(field, "change"), "just one of "+strings.Join(fieldNames(value.Type()), ", "))
		return
	}
	switch {
	case intent.DeclareService != nil:
		checkServiceIntent(w, named[0], intent.DeclareService)
	case intent.ChangeService != nil:
		checkServiceIntent(w, named[0], intent.ChangeService)
	case intent.SetTenantLimit != nil:
		w.needAll(named[0], "tenant", "requests-per-second", "burst")
		w.needText(join(named[0], "tenant"), intent.SetTenantLimit.Tenant)
		w.need(join(named[0], "requests-per-second"), intent.SetTenantLimit.RequestsPerSecond >= 0, "0 or more")
	case intent.SetUpstreamLimit != nil:
		w.needAll(named[0], "upstream", "connections", "slots")
		w.needText(join(named[0], "upstream"), intent.SetUpstreamLimit.Upstream)
	case intent.SetUpstreamWeight != nil:
		w.needAll(named[0], "upstream", "weight-percent")
		w.needText(join(named[0], "upstream"), intent.SetUpstreamWeight.Upstream)
	case intent.SetUpstreamDrain != nil:
		w.needAll(named[0], "upstream", "drained")
		w.needText(join(named[0], "upstream"), intent.SetUpstreamDrain.Upstream)
	case intent.SetZoneDrain != nil:
		w.needAll(named[0], "zone", "drained")
		w.needText(join(named[0], "zone"), intent.SetZoneDrain.Zone)
	case intent.AddControl != nil:
		w.needText(join(named[0], "id"), intent.AddControl.ID)
		w.needAddress(join(named[0], "address"), intent.AddControl.Address)
	case intent.RemoveControl != nil:
		w.needText(join(named[0], "id"), intent.RemoveControl.ID)
	}
}

func checkServiceIntent(w *walker, field string, service *ServiceIntent) {
	w.needAll(field, "name", "shards", "coverage", "timeout-ms")
	w.needText(join(field, "name"), service.Name)
	w.need(join(field, "shards"), len(service.Shards) > 0, "at least one shard")
	w.need(join(field, "coverage"), service.Coverage >= 0 && service.Coverage <= 1, "from 0 to 1")
	w.need(join(field, "timeout-ms"), service.TimeoutMs > 0, "above 0")
}

// needAll holds that the fields are in the file, so that a forgotten one is not taken for 0.
func (w *walker) needAll(field string, names ...string) {
	for _, name := range names {
		_, written := w.places[join(field, name)]
		w.need(join(field, name), written, "a value; the field must be given")
	}
}

func (i *Intent) wire() *wire.Intent {
	intent := &wire.Intent{}
	switch {
	case i.DeclareService != nil:
		intent.Change = &wire.Intent_DeclareService{
			DeclareService: i.DeclareService.wire(),
		}
	case i.ChangeService != nil:
		intent.Change = &wire.Intent_ChangeService{
			ChangeService: i.ChangeService.wire(),
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
			AddControl: i.AddControl.wire(),
		}
	case i.RemoveControl != nil:
		intent.Change = &wire.Intent_RemoveControl{
			RemoveControl: i.RemoveControl.wire(),
		}
	}
	return intent
}

func (s *ServiceIntent) wire() *wire.Service {
	return &wire.Service{
		Name:               s.Name,
		Shards:             s.Shards,
		CoverageMillionths: uint32(math.Round(s.Coverage * wire.CoverageWhole)),
		TimeoutMs:          s.TimeoutMs,
	}
}

func (c *ControlIntent) wire() *wire.ControlMember {
	return &wire.ControlMember{
		Id:      c.ID,
		Address: c.Address,
	}
}

// intentOf returns an intent as its file says it.
func intentOf(intent *wire.Intent) Intent {
	switch change := intent.GetChange().(type) {
	case *wire.Intent_DeclareService:
		return Intent{
			DeclareService: serviceOf(change.DeclareService),
		}
	case *wire.Intent_ChangeService:
		return Intent{
			ChangeService: serviceOf(change.ChangeService),
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
			AddControl: controlOf(change.AddControl),
		}
	case *wire.Intent_RemoveControl:
		return Intent{
			RemoveControl: controlOf(change.RemoveControl),
		}
	default:
		return Intent{}
	}
}

func serviceOf(service *wire.Service) *ServiceIntent {
	return &ServiceIntent{
		Name:      service.GetName(),
		Shards:    service.GetShards(),
		Coverage:  float64(service.GetCoverageMillionths()) / wire.CoverageWhole,
		TimeoutMs: service.GetTimeoutMs(),
	}
}

func controlOf(member *wire.ControlMember) *ControlIntent {
	return &ControlIntent{
		ID:      member.GetId(),
		Address: member.GetAddress(),
	}
}
