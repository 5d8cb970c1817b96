package balancer

import "time"

// Candidate is one replica of a service as it would be considered now.
type Candidate struct {
	Replica *ReplicaState
	Cost    Cost
	// Excluded says why the replica can't be chosen; empty if it can.
	Excluded string
}

// Candidates returns all replicas of the service with their costs for a request of the given work, 0 if it is unknown, and the number of the one that would be chosen, -1 if there is none. Neither the random part of a choice nor any state is touched.
func (b *Balancer) Candidates(now time.Time, service string, work time.Duration) ([]Candidate, int) {
	s := b.services[service]
	if s == nil {
		return nil, -1
	}
	chosen := -1
	candidates := make([]Candidate, 0, len(s.replicas))
	for i, r := range s.replicas {
		c := Candidate{
			Replica:  r,
			Cost:     b.Explain(now, r, work),
			Excluded: r.exclusion(now),
		}
		candidates = append(candidates, c)
		if c.Excluded == "" && (chosen < 0 || c.Cost.Total() < candidates[chosen].Cost.Total()) {
			chosen = i
		}
	}
	return candidates, chosen
}

// exclusion returns why the replica accepts no attempt now, or nothing if it does.
func (r *ReplicaState) exclusion(now time.Time) string {
	switch {
	case r.hasLeft(now):
		return "leaving"
	case now.Before(r.pausedUntil):
		return "paused"
	case r.nextSend(now).After(now):
		return "rate limit"
	default:
		return ""
	}
}
