package forwarder

import (
	"slices"
	"sync"
	"time"

	"pimentogate.example/pimentogate/internal/transport/exchanger"
	"pimentogate.example/pimentogate/pkg/wire"
)

// drains holds the availability zones that operators have drained. It has a lock of its own, because attempts check it when they get a connection, without the forwarder's mutex.
type drains struct {
	forwarder *Forwarder
	mutex     sync.RWMutex
	// revision is the highest revision received, and isKnown is set once a list was received. A list of a lower revision is ignored, so that a control instance that is behind does not end a drain.
	revision uint64
	isKnown  bool
	zones    []string
}

func newDrains(f *Forwarder) *drains {
	return &drains{
		forwarder: f,
	}
}

// apply applies a list of drained zones unless it is nil, as from an older build, or not newer than the current one. Attempts in flight continue.
func (d *drains) apply(list *wire.ZoneDrains) {
	if list == nil {
		return
	}
	before, changed := d.replace(list)
	if !changed {
		return
	}
	f := d.forwarder
	f.mutex.Lock()
	f.balancer.SetDrainedZones(time.Now(), d.current())
	f.mutex.Unlock()
	f.meter.drainedZones.Update(float64(len(list.GetZones())))
	f.log.Info("drained zones changed", "zones", list.GetZones(), "before", before, "revision", list.GetRevision())
	// Replicas of a zone whose drain has ended get their connections before the first request needs them.
	f.preconnector.noteChange()
}

// replace stores a newer list, and returns the previous zones and whether the list names others.
func (d *drains) replace(list *wire.ZoneDrains) ([]string, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.isKnown && list.GetRevision() <= d.revision {
		return nil, false
	}
	before := d.zones
	d.isKnown = true
	d.revision = list.GetRevision()
	d.zones = list.GetZones()
	return before, !slices.Equal(before, d.zones)
}

func (d *drains) current() []string {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	return d.zones
}

// accepts reports whether attempts may be sent to the replica.
func (d *drains) accepts(target exchanger.Target) bool {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	return !slices.Contains(d.zones, target.Zone)
}
