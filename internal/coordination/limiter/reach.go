package limiter

// minCrossZoneConnections is the number of connections an entry instance needs to each replica of another
// availability zone to send its own attempts there: one more than a straggler occupies.
const minCrossZoneConnections = 2

// Reach is the number of connections an entry instance may open to each replica in its own availability zone
// and in other zones. Far is 0 where replicas of other zones are reached through peers in their zones. This
// serves fleets in which a replica accepts fewer connections than there are entry instances.
type Reach struct {
	Near int
	Far  int
}

// Divide divides a replica's connections among all entry instances, or only among those in its availability
// zone if there are too many instances for that.
func Divide(connections, instances, zoneInstances int) Reach {
	perInstance := connections / max(1, instances)
	if perInstance >= minCrossZoneConnections {
		return Reach{
			Near: perInstance,
			Far:  perInstance,
		}
	}
	return Reach{
		Near: max(1, connections/max(1, zoneInstances)),
	}
}
