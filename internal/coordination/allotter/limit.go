package allotter

import "time"

const (
	// keeperRanks is how many instances of an availability zone may keep an organisation's tokens: the keeper and its backups. All of them may grant start tokens within one window, so the number bounds their sum.
	keeperRanks = 3
	// The five shares below divide the slack that leases leave, so that the allotment holds while all of these faults come at once.
	// startShare is the part that all keepers and backups together may start with.
	startShare = 0.45
	// backupShare is the part that all backups together may earn in a window.
	backupShare = 0.1
	// cutShare is the part that all keepers that reach no lender may earn together in a window beyond their zones' rates.
	cutShare = 0.15
	// extraBurstShare is the part by which the buckets may exceed the burst. Dividing the burst by zones loses up to a zone's part when one zone has all the requests.
	extraBurstShare = 0.15
	// steadyShare is the part, the burst at most, that is earned in a window beyond the rate. An organisation may send its burst in every window, but one that sends all the time never finds a full bucket.
	steadyShare = 0.15
	// minCapacityShare is the largest part of the slack that is used to let each zone's bucket hold one token.
	minCapacityShare = 0.25
)

// Limit is the allotment of one organisation over all instances; a rate of 0 means no limit.
type Limit struct {
	Organisation string
	Rate         float64
	Burst        float64
}

// Terms state by how much the requests of an organisation may exceed its allotment, and between how many availability zones it is divided.
type Terms struct {
	Window    time.Duration
	Overage   float64
	Tolerance float64
	Zones     int
	// FirstStart is set if the whole deployment starts for the first time.
	FirstStart bool
}

// slack returns by how many requests the organisation may exceed its allotment in a window, less those that leases granted before the window may add to it.
func (t *Terms) slack(l *Limit) float64 {
	return max(0, t.Overage*(l.Rate*t.Window.Seconds()+l.Burst)+t.Tolerance-l.Rate*LeaseDuration.Seconds())
}

// share is the part of an allotment that one keeper has.
type share struct {
	// rate and capacity belong to the zone's keeper. backupRate and start are the safe ones of an instance that may not be the only keeper.
	rate       float64
	capacity   float64
	backupRate float64
	start      float64
	// cutRate is the rate of a zone's keeper that reaches no lender.
	cutRate float64
}

func (t *Terms) shareOf(l *Limit) share {
	zones := float64(max(1, t.Zones))
	slack := t.slack(l)
	window := max(t.Window, time.Millisecond).Seconds()
	rate := l.Rate + min(l.Burst, steadyShare*slack)/window
	s := share{
		rate:     rate / zones,
		capacity: max((l.Burst+extraBurstShare*slack)/zones, min(1, minCapacityShare*slack/zones)),
	}
	s.backupRate = min(s.rate, backupShare*slack/window/(zones*(keeperRanks-1)))
	s.cutRate = min(rate, s.rate+cutShare*slack/window/zones)
	s.start = min(s.capacity, startShare*slack/(zones*keeperRanks))
	return s
}
