package allotter

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// removalDelay is how long an instance keeps its rank after it was last listed. A control instance that has restarted lists few instances for some seconds, and two keepers that both take themselves for the first would both earn the zone's rate.
	removalDelay = 10 * time.Second
	// bypassDuration is how long a keeper that did not respond is bypassed.
	bypassDuration = time.Second
	// absentDuration is how long an instance whose build does not know allotments has no rank.
	absentDuration = time.Minute
)

// Member is an entry instance.
type Member struct {
	Instance string
	Zone     string
	// Address is empty if other instances can't call it.
	Address string
}

type peer struct {
	Member

	hash          uint64
	listed        bool
	unlistedSince time.Time
	bypassedUntil time.Time
	absentUntil   time.Time
}

// Roster ranks the known entry instances of each availability zone for each organisation.
type Roster struct {
	self   Member
	peers  map[string]*peer
	byZone map[string][]*peer
	// knownSince is when the first list arrived; zero before.
	knownSince time.Time
	// revision changes with the ranks.
	revision uint64
}

// NewRoster returns a roster that knows only the instance itself.
func NewRoster(self Member) *Roster {
	r := &Roster{
		self:   self,
		peers:  map[string]*peer{},
		byZone: map[string][]*peer{},
	}
	_ = r.put(self)
	r.group()
	return r
}

// Update applies a list of all entry instances.
func (r *Roster) Update(now time.Time, members []Member) {
	if r.knownSince.IsZero() {
		r.knownSince = now
	}
	for _, p := range r.peers {
		if p.listed && p.Instance != r.self.Instance {
			p.listed = false
			p.unlistedSince = now
		}
	}
	changed := false
	for _, m := range members {
		if m.Instance != r.self.Instance && m.Address != "" {
			changed = r.put(m) || changed
		}
	}
	if changed {
		r.group()
	}
	r.Expire(now)
}

// put adds or updates an instance, and reports whether it is new or has changed.
func (r *Roster) put(m Member) bool {
	p, ok := r.peers[m.Instance]
	if !ok {
		p = &peer{
			hash: xxhash.Sum64String(m.Instance),
		}
		r.peers[m.Instance] = p
	}
	p.listed = true
	if p.Member == m {
		return false
	}
	// Another process runs at a new address.
	p.bypassedUntil, p.absentUntil = time.Time{}, time.Time{}
	p.Member = m
	return true
}

// Expire removes instances that have not been listed for removalDelay, and ranks those again whose build may have changed.
func (r *Roster) Expire(now time.Time) {
	changed := false
	for name, p := range r.peers {
		if !p.listed && now.Sub(p.unlistedSince) >= removalDelay {
			delete(r.peers, name)
			changed = true
		}
		if !p.absentUntil.IsZero() && !now.Before(p.absentUntil) {
			p.absentUntil = time.Time{}
			changed = true
		}
	}
	if changed {
		r.group()
	}
}

// group lists the instances with a rank by zone. This instance has none if others can't call it, unless it is the only one.
func (r *Roster) group() {
	r.revision++
	r.byZone = map[string][]*peer{}
	for _, p := range r.peers {
		if p.absentUntil.IsZero() && p.Address != "" {
			r.byZone[p.Zone] = append(r.byZone[p.Zone], p)
		}
	}
	if len(r.byZone[r.self.Zone]) == 0 {
		r.byZone[r.self.Zone] = []*peer{r.peers[r.self.Instance]}
	}
}

// IsKnown reports whether a list of entry instances has arrived.
func (r *Roster) IsKnown() bool { return !r.knownSince.IsZero() }

// Zones returns the number of availability zones with a known instance.
func (r *Roster) Zones() int { return len(r.byZone) }

// ranking holds the keeper and the backups of an organisation in a zone.
type ranking struct {
	peers [keeperRanks]*peer
	count int
}

// rank returns the instances of the zone with the highest hashes of instance and organisation, whether or not they respond.
func (r *Roster) rank(zone, organisation string) ranking {
	var top ranking
	var weights [keeperRanks]uint64
	key := xxhash.Sum64String(organisation)
	for _, p := range r.byZone[zone] {
		weight := mix(key ^ p.hash)
		at := top.count
		for at > 0 && weight > weights[at-1] {
			at--
		}
		if at == keeperRanks {
			continue
		}
		copy(top.peers[at+1:], top.peers[at:])
		copy(weights[at+1:], weights[at:])
		top.peers[at], weights[at] = p, weight
		top.count = min(top.count+1, keeperRanks)
	}
	return top
}

// mix is the finalizer of SplitMix64, which spreads the bits of similar hashes.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Keeper returns the first instance in rank that is not bypassed, of those after the given ones, and false if there is none.
func (r *Roster) Keeper(now time.Time, zone, organisation string, tried int) (Member, int, bool) {
	top := r.rank(zone, organisation)
	for i := tried; i < top.count; i++ {
		if p := top.peers[i]; p.Instance == r.self.Instance || !now.Before(p.bypassedUntil) {
			return p.Member, i, true
		}
	}
	return Member{}, 0, false
}

// HasKeepers reports whether the zone has an instance with a rank.
func (r *Roster) HasKeepers(zone string) bool { return len(r.byZone[zone]) > 0 }

// ownRank returns the rank of this instance in its zone, or keeperRanks if it is no keeper.
func (r *Roster) ownRank(organisation string) int {
	top := r.rank(r.self.Zone, organisation)
	for i, p := range top.peers[:top.count] {
		if p.Instance == r.self.Instance {
			return i
		}
	}
	return keeperRanks
}

// Lenders returns the keeper of each other availability zone that is not bypassed, and of the own zone the first instance in rank from the given place on, if it is another one.
func (r *Roster) Lenders(now time.Time, organisation string, ownZoneFrom int) []Member {
	var lenders []Member
	for zone := range r.byZone {
		from := 0
		if zone == r.self.Zone {
			from = ownZoneFrom
		}
		if m, _, found := r.Keeper(now, zone, organisation, from); found && m.Instance != r.self.Instance {
			lenders = append(lenders, m)
		}
	}
	return lenders
}

// ZoneMembers returns the other instances of the own zone that have a rank.
func (r *Roster) ZoneMembers() []Member {
	var members []Member
	for _, p := range r.byZone[r.self.Zone] {
		if p.Instance != r.self.Instance {
			members = append(members, p.Member)
		}
	}
	return members
}

// RecordFailure records that the instance did not respond, and bypasses it.
func (r *Roster) RecordFailure(now time.Time, instance string) {
	if p := r.peers[instance]; p != nil {
		p.bypassedUntil = now.Add(bypassDuration)
	}
}

// RecordAnswer records that the instance has responded.
func (r *Roster) RecordAnswer(instance string) {
	if p := r.peers[instance]; p != nil {
		p.bypassedUntil = time.Time{}
	}
}

// RecordAbsence records that the build of the instance does not know allotments, and reports whether this is news.
func (r *Roster) RecordAbsence(now time.Time, instance string) bool {
	p := r.peers[instance]
	if p == nil || instance == r.self.Instance {
		return false
	}
	isNews := p.absentUntil.IsZero()
	p.absentUntil = now.Add(absentDuration)
	if isNews {
		r.group()
	}
	return isNews
}
