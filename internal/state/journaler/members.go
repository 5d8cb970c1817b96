package journaler

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

// Members is a list of control instances, both voters and learners.
type Members []*wire.ControlMember

// Find returns the member with the identity, or nil.
func (m Members) Find(id string) *wire.ControlMember {
	for _, member := range m {
		if member.GetId() == id {
			return member
		}
	}
	return nil
}

// IsVoter reports whether the identity is that of a voter.
func (m Members) IsVoter(id string) bool {
	member := m.Find(id)
	return member != nil && !member.GetLearner()
}

// QuorumSize returns the number of voters in a majority.
func (m Members) QuorumSize() int {
	return m.VoterCount()/2 + 1
}

// ToleratedFailures returns how many voters can fail without losing the quorum.
func (m Members) ToleratedFailures() int {
	return m.VoterCount() - m.QuorumSize()
}

// HasQuorum reports whether the voters for which matches returns true are a majority.
func (m Members) HasQuorum(matches func(id string) bool) bool {
	count := 0
	for _, member := range m {
		if !member.GetLearner() && matches(member.GetId()) {
			count++
		}
	}
	return count >= m.QuorumSize()
}

// With returns a copy with the member added, or replaced if its identity is known.
func (m Members) With(member *wire.ControlMember) Members {
	return append(m.Without(member.GetId()), member)
}

// Without returns a copy without the member of the identity.
func (m Members) Without(id string) Members {
	var kept Members
	for _, member := range m {
		if member.GetId() != id {
			kept = append(kept, proto.CloneOf(member))
		}
	}
	return kept
}

// VoterCount returns the number of voters.
func (m Members) VoterCount() int {
	count := 0
	for _, member := range m {
		if !member.GetLearner() {
			count++
		}
	}
	return count
}

// VoterIDs returns the identities of the voters.
func (m Members) VoterIDs() []string {
	return m.ids(func(member *wire.ControlMember) bool { return !member.GetLearner() })
}

// LearnerIDs returns the identities of the learners.
func (m Members) LearnerIDs() []string {
	return m.ids((*wire.ControlMember).GetLearner)
}

func (m Members) ids(include func(member *wire.ControlMember) bool) []string {
	list := []string{}
	for _, member := range m {
		if include(member) {
			list = append(list, member.GetId())
		}
	}
	return list
}

// Equal reports whether both lists hold the same members in the same order.
func (m Members) Equal(other Members) bool {
	return slices.EqualFunc(m, other, func(a, b *wire.ControlMember) bool { return a == b || proto.Equal(a, b) })
}
