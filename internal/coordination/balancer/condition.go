package balancer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pimentogate.example/pimentogate/internal/coordination/estimator"
)

const (
	// maxDeviating bounds the replicas whose conditions may be told to peers.
	maxDeviating = 512
	// maxConditions is the number of conditions in one message, at most some 27 bytes each.
	maxConditions = 24
)

// Condition is what an instance tells its peers of a replica.
type Condition struct {
	// Replica is the hash of the replica's ID.
	Replica uint64
	estimator.Condition
}

// noteDeviation remembers a replica whose condition may have to be told to peers.
func (b *Balancer) noteDeviation(now time.Time, r *ReplicaState) {
	if r.isDeviating || r.Zone != b.zone || len(b.deviating) >= maxDeviating || !r.estimate.MayDeviate() {
		return
	}
	if _, deviates := r.estimate.Condition(now); deviates {
		r.isDeviating = true
		b.deviating = append(b.deviating, r)
	}
}

// Conditions returns the conditions of replicas in the own availability zone that deviate from those of their service, at most maxConditions. The next call continues with the others.
func (b *Balancer) Conditions(now time.Time) []Condition {
	var conditions []Condition
	for checks := len(b.deviating); checks > 0 && len(conditions) < maxConditions; checks-- {
		r := b.deviating[0]
		b.deviating = b.deviating[1:]
		c, deviates := r.estimate.Condition(now)
		if !deviates || b.replicasByID[r.ID] != r {
			r.isDeviating = false
			continue
		}
		b.deviating = append(b.deviating, r)
		left, _ := r.ownWorkLeft(now, time.Duration(float64(r.service.typicalLatency())*r.slowness(now)))
		c.WorkLeft = time.Duration(left)
		conditions = append(conditions, Condition{
			Replica:   r.hash,
			Condition: c,
		})
	}
	return conditions
}

// DeviatingCount returns how many replicas have conditions to be told to peers, and forgets the others. Instances that do not relay call Conditions never.
func (b *Balancer) DeviatingCount(now time.Time) int {
	b.deviating = slices.DeleteFunc(b.deviating, func(r *ReplicaState) bool {
		_, deviates := r.estimate.Condition(now)
		r.isDeviating = deviates && b.replicasByID[r.ID] == r
		return !r.isDeviating
	})
	return len(b.deviating)
}

// MergeCondition adds what a peer has told of a replica; unknown replicas are ignored.
func (b *Balancer) MergeCondition(now time.Time, c Condition) {
	if r := b.replicasByHash[c.Replica]; r != nil {
		r.estimate.Merge(now, c.Condition)
	}
}

// RecordRelayStart records the start of an attempt that this instance relays for a peer, which has already charged it to the rate limit of the replica.
func (b *Balancer) RecordRelayStart(now time.Time, r *ReplicaState) {
	r.relayedTimes = append(r.relayedTimes, now)
}

// RecordRelayEnd records the end of the relayed attempt that started at the given time.
func (b *Balancer) RecordRelayEnd(r *ReplicaState, startedAt time.Time) {
	r.relayedTimes = removeTime(r.relayedTimes, startedAt)
}

// RecordRelayLoss records that the replica has left a relayed attempt without a useful reply.
func (b *Balancer) RecordRelayLoss(now time.Time, r *ReplicaState) {
	b.estimator.RecordLoss(now, &r.estimate)
	b.noteDeviation(now, r)
}

// hashReplica returns the hash by which conditions name a replica.
func hashReplica(id string) uint64 { return xxhash.Sum64String(id) }
