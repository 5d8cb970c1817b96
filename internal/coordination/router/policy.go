package router

import "pimentogate.example/pimentogate/internal/coordination/registrar"

// Policy names a way of routing sub-requests.
type Policy string

// The ways of routing.
const (
	// RoundRobin takes the replicas in turn and never hedges.
	RoundRobin Policy = "round-robin"
	// TwoChoices takes the better of two by in-flight and latency, and hedges.
	TwoChoices Policy = "two-choices"
	// Owner queues at the replicas' slots, and hedges.
	Owner Policy = "owner"
)

// Policies returns the names that a setting may take.
func Policies() []Policy { return []Policy{RoundRobin, TwoChoices, Owner} }

// Hedges reports whether stragglers are sent a second time.
func (p Policy) Hedges() bool { return p != RoundRobin }

// Queues reports whether sub-requests wait here for a slot.
func (p Policy) Queues() bool { return p == Owner }

// picker chooses among candidates, of which there is at least one.
type picker func(r *Router, candidates []*registrar.Replica) *registrar.Replica

func pickerOf(p Policy) picker {
	switch p {
	case RoundRobin:
		return (*Router).pickNext
	case Owner:
		return (*Router).pickLeast
	default:
		return (*Router).pickOfTwo
	}
}
