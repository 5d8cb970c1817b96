package balancer

import "time"

// SetDrainedZones sets the availability zones to whose replicas nothing is sent.
func (b *Balancer) SetDrainedZones(now time.Time, zones []string) {
	before := b.drainedZones
	b.drainedZones = make(map[string]bool, len(zones))
	for _, zone := range zones {
		b.drainedZones[zone] = true
	}
	for zone := range before {
		if !b.drainedZones[zone] {
			b.drainEnds[zone] = now
		}
	}
}

// isEligible reports whether attempts may be sent to the replica, leaving aside rate limits and pauses.
func (b *Balancer) isEligible(now time.Time, r *ReplicaState) bool {
	return !r.hasLeft(now) && !b.drainedZones[r.Zone]
}

// ReplicaCount returns how many replicas the service has, except those that have left or are in drained availability zones.
func (b *Balancer) ReplicaCount(now time.Time, service string) int {
	return b.CountAmong(now, service, acceptAll)
}

// CountAmong is like ReplicaCount, for the replicas for which accept returns true.
func (b *Balancer) CountAmong(now time.Time, service string, accept func(*ReplicaState) bool) int {
	return b.countReplicas(service, func(r *ReplicaState) bool { return b.isEligible(now, r) && accept(r) })
}

// HasDrainedReplica reports whether replicas for which accept returns true are not used only because their availability zones are drained.
func (b *Balancer) HasDrainedReplica(now time.Time, service string, accept func(*ReplicaState) bool) bool {
	return b.countReplicas(service, func(r *ReplicaState) bool { return b.drainedZones[r.Zone] && !r.hasLeft(now) && accept(r) }) > 0
}

func acceptAll(*ReplicaState) bool { return true }

func (b *Balancer) countReplicas(service string, accept func(*ReplicaState) bool) int {
	s := b.services[service]
	if s == nil {
		return 0
	}
	count := 0
	for _, r := range s.replicas {
		if accept(r) {
			count++
		}
	}
	return count
}

// NextSend returns when a replica of the service for which accept returns true takes an attempt, which is now or earlier if one does already. It returns false if there is no eligible one.
func (b *Balancer) NextSend(now time.Time, service string, accept func(*ReplicaState) bool) (time.Time, bool) {
	s := b.services[service]
	if s == nil {
		return time.Time{}, false
	}
	var next time.Time
	found := false
	for _, r := range s.replicas {
		if !b.isEligible(now, r) || !accept(r) {
			continue
		}
		if candidate := b.nextSend(now, r); !found || candidate.Before(next) {
			next, found = candidate, true
		}
	}
	return next, found
}
