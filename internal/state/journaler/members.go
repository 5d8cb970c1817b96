package journaler

import (
	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

// Members is the control instances that the journal names.
type Members []*wire.ControlMember

// Find returns the member with the id, or nil.
func (m Members) Find(id string) *wire.ControlMember {
	for _, member := range m {
		if member.GetId() == id {
			return member
		}
	}
	return nil
}

// IsVoter reports whether the id is that of a member with a vote.
func (m Members) IsVoter(id string) bool {
	member := m.Find(id)
	return member != nil && !member.GetLearner()
}

// Quorum returns how many voters a majority takes.
func (m Members) Quorum() int {
	return m.Voters()/2 + 1
}

// Tolerated returns how many voters can be lost while the others are still a majority.
func (m Members) Tolerated() int {
	return m.Voters() - m.Quorum()
}

// HasQuorum reports whether the voters for which ok holds are a majority.
func (m Members) HasQuorum(ok func(id string) bool) bool {
	count := 0
	for _, member := range m {
		if !member.GetLearner() && ok(member.GetId()) {
			count++
		}
	}
	return count >= m.Quorum()
}

// With returns a copy in which the member is added, or replaces the one of the same id.
func (m Members) With(member *wire.ControlMember) Members {
	return append(m.Without(member.GetId()), member)
}

// Without returns a copy that lacks the member of the id.
func (m Members) Without(id string) Members {
	var kept Members
	for _, member := range m {
		if member.GetId() != id {
			kept = append(kept, proto.CloneOf(member))
		}
	}
	return kept
}

// Voters returns how many members have a vote.
func (m Members) Voters() int {
	count := 0
	for _, member := range m {
		if !member.GetLearner() {
			count++
		}
	}
	return count
}
