package delegator

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minRelays is the smallest number of relays of an availability zone, so that one that fails delays a part of the queries only.
	minRelays = 3
	// relayCountStep is the ratio of neighbouring numbers of relays. An instance that receives a query every few seconds can't estimate more closely.
	relayCountStep = 4
	// callInterval is the time between two calls to a relay that keeps its connections in use. A call reaches a part of the replicas only.
	callInterval = 250 * time.Millisecond
	// coldInterval is the time between two queries of an instance after which most of its connections have been closed as idle.
	coldInterval = 3 * time.Second
	// attemptsPerCall is the number of attempts that one call carries. Smaller calls would be more of them, and larger ones would keep one relay busy for longer.
	attemptsPerCall = 30
)

// RelayCount returns how many instances of an availability zone relay attempts for a fleet in which each of the instances receives the given number of queries per second. The count grows in large steps, so that instances with different estimates mostly agree.
func RelayCount(queriesPerSecond float64, instances int) int {
	calls := queriesPerSecond * float64(instances)
	needed := calls * callInterval.Seconds()
	count := minRelays
	for needed > 2*float64(count) && count < instances {
		count *= relayCountStep
	}
	return count
}

// IsCold reports whether an instance receives so few queries that its connections are mostly closed as idle between them.
func IsCold(queriesPerSecond float64) bool {
	return queriesPerSecond*coldInterval.Seconds() < 1
}

// CallCount returns into how many calls the attempts are divided.
func CallCount(attempts int) int {
	return max(1, int(math.Round(float64(attempts)/attemptsPerCall)))
}

// Weight returns the weight of a member for a key by rendezvous hashing: the members with the highest weights are chosen, and one that joins or leaves changes the place of no other.
func Weight(key, member string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(member)
	return digest.Sum64()
}
