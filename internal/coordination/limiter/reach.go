package limiter

// leastFar is how many connections an entry instance must be allowed to each replica of another availability zone for attempts of its own to go there: one more than a straggler holds.
const leastFar = 2

// Reach is how many connections an entry instance may have to each replica of its own availability zone, and of others; Far is 0 where those are reached through peers in their zones. It answers fleets in which a replica takes fewer connections than there are entry instances.
type Reach struct {
	Near int
	Far  int
}

// Divide shares a replica's connections among all entry instances, or among those of its availability zone where there are too many for that.
func Divide(connections, instances, neighbours int) Reach {
	each := connections / max(1, instances)
	if each >= leastFar {
		return Reach{
			Near: each,
			Far:  each,
		}
	}
	return Reach{
		Near: max(1, connections/max(1, neighbours)),
	}
}
