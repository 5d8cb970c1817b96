package cataloger

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

// DrainZone drains an availability zone or ends its drain, and returns the revision after the request. The revision increases only if the drained zones change. It ends a drain by deleting the zone's setting, so that settings of zones that no longer exist do not accumulate.
func (c *Catalog) DrainZone(request *wire.DrainZoneRequest) *wire.DrainZoneResponse {
	zone := request.GetZone()
	if zone != "" && IsZoneDrained(c.config, zone) != request.GetDrained() {
		next := proto.CloneOf(c.config)
		next.Zones = slices.DeleteFunc(next.Zones, func(z *wire.ZoneSetting) bool { return z.GetZone() == zone })
		if request.GetDrained() {
			next.Zones = append(next.Zones, &wire.ZoneSetting{
				Zone:    zone,
				Drained: true,
			})
		}
		slices.SortFunc(next.Zones, func(a, b *wire.ZoneSetting) int { return cmp.Compare(a.GetZone(), b.GetZone()) })
		next.Revision++
		c.config = next
	}
	return &wire.DrainZoneResponse{
		Revision: c.config.GetRevision(),
	}
}

// ZoneDrains returns the drained availability zones with the revision of the configuration. The configuration does not record which revision last changed the list; its own revision orders the lists as well.
func (c *Catalog) ZoneDrains() *wire.ZoneDrains {
	drains := &wire.ZoneDrains{
		Revision: c.config.GetRevision(),
	}
	for _, zone := range c.config.GetZones() {
		if zone.GetDrained() {
			drains.Zones = append(drains.Zones, zone.GetZone())
		}
	}
	return drains
}
