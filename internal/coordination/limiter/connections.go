package limiter

// minCrossZoneConnections is the number of connections an entry instance needs to each replica of another
// availability zone to send its own attempts there: one more than a straggler occupies.
const minCrossZoneConnections = 2

// ReplicaConnections is the number of connections an entry instance may open to each replica in its own
// availability zone and in other zones. OtherZones is 0 where replicas of other zones are reached through
// peers in their zones. This serves fleets in which a replica accepts fewer connections than there are entry
// instances.
type ReplicaConnections struct {
	SameZone   int
	OtherZones int
}

// DivideConnections divides a replica's connections among all entry instances, or only among those in its
// availability zone if there are too many instances for that.
func DivideConnections(connections, instances, zoneInstances int) ReplicaConnections {
	perInstance := connections / max(1, instances)
	if perInstance >= minCrossZoneConnections {
		return ReplicaConnections{
			SameZone:   perInstance,
			OtherZones: perInstance,
		}
	}
	return ReplicaConnections{
		SameZone: max(1, connections/max(1, zoneInstances)),
	}
}
