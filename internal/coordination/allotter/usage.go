package allotter

import "time"

const (
	// recentMemory and usualMemory are the time constants of the recent and the long-term use.
	recentMemory = 2 * time.Second
	usualMemory  = 10 * time.Minute
)

// usage is the cost of the requests of one organisation that were admitted in the availability zone.
type usage struct {
	recent average
	usual  average
}

// AddUse adds cost that an instance has reported for an organisation of the configuration.
func (k *Keeper) AddUse(now time.Time, organisation string, cost float64) {
	if _, ok := k.limits[organisation]; !ok || !(cost > 0) {
		return
	}
	u, ok := k.usage[organisation]
	if !ok {
		u = &usage{}
		k.usage[organisation] = u
	}
	u.recent.add(now, recentMemory, cost)
	u.usual.add(now, usualMemory, cost)
}

// Use returns the organisation's recent and long-term use in the availability zone, in the unit of the reported cost per second.
func (k *Keeper) Use(now time.Time, organisation string) (usedPerSecond, usualPerSecond float64) {
	u, ok := k.usage[organisation]
	if !ok {
		return 0, 0
	}
	return u.recent.perSecond(now, recentMemory), u.usual.perSecond(now, usualMemory)
}
