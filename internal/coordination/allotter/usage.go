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

// Use is the use of an organisation in the availability zone, in the unit of the reported cost.
type Use struct {
	// RecentPerSecond and UsualPerSecond are the use of the last seconds and of the last minutes.
	RecentPerSecond float64
	UsualPerSecond  float64
}

// Use returns the organisation's use, zero if none was reported.
func (k *Keeper) Use(now time.Time, organisation string) Use {
	u, ok := k.usage[organisation]
	if !ok {
		return Use{}
	}
	return Use{
		RecentPerSecond: u.recent.perSecond(now, recentMemory),
		UsualPerSecond:  u.usual.perSecond(now, usualMemory),
	}
}
