package router

import "pimentogate.example/pimentogate/internal/coordination/registrar"

// Policy is a routing policy for sub-requests.
type Policy string

// The routing policies.
const (
	// RoundRobin picks the replicas in turn and never hedges.
	RoundRobin Policy = "round-robin"
	// TwoChoices picks the better of two random replicas by attempts in flight and latency, and hedges.
	TwoChoices Policy = "two-choices"
	// Owner sends sub-requests through the owner of the replica, which queues them until a slot is free, and hedges.
	Owner Policy = "owner"
)

// Policies returns the policies that a setting may name.
func Policies() []Policy { return []Policy{RoundRobin, TwoChoices, Owner} }

// Hedges reports whether the policy hedges stragglers.
func (p Policy) Hedges() bool { return p != RoundRobin }

// Queues reports whether sub-requests wait for a slot in the entry instance that owns the replica.
func (p Policy) Queues() bool { return p == Owner }

// picker picks one of the candidates, of which there must be at least one.
type picker func(r *Router, candidates []*registrar.Replica) *registrar.Replica

func pickerFor(p Policy) picker {
	switch p {
	case RoundRobin:
		return (*Router).pickRoundRobin
	case Owner:
		return (*Router).pickLeastLoaded
	default:
		return (*Router).pickBetterOfTwo
	}
}
