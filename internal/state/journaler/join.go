package journaler

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

// replaceAfter is the silence after which a newcomer of the same availability zone takes a member's vote: longer than a restart or a short cut.
const replaceAfter = 6 * time.Second

// ChangePendingError is the refusal of a membership change before the one under way is committed.
type ChangePendingError struct {
	Commit uint64
}

// Error says up to where the journal is committed.
func (e *ChangePendingError) Error() string {
	return fmt.Sprintf("another change of the control instances is not committed yet; committed up to %d", e.Commit)
}

// JoinError is the refusal of an instance that asks to join.
type JoinError struct {
	ID      string
	Address string
	Reason  string
}

// Error names the instance and why it may not join.
func (e *JoinError) Error() string {
	return fmt.Sprintf("control instance %q at %s may not join: %s", e.ID, e.Address, e.Reason)
}

// ProposeMembers appends a membership that differs from the one in force by one member.
func (m *Machine) ProposeMembers(now time.Time, next Members) (uint64, uint64, error) {
	if m.role != Leader || !m.mayLead(now) {
		return 0, 0, &NotLeaderError{
			Leader: m.leader,
		}
	}
	if m.changePending() {
		return 0, 0, &ChangePendingError{
			Commit: m.commit,
		}
	}
	payload, err := proto.Marshal(&wire.MemberList{
		Members: next,
	})
	if err != nil {
		return 0, 0, fmt.Errorf("membership: %w", err)
	}
	return m.Propose(now, wire.EntryKind_ENTRY_KIND_MEMBERS, payload)
}

// changePending reports whether a membership may still be lost; a leader without a committed entry of its own term cannot know.
func (m *Machine) changePending() bool {
	return m.commit < m.leadsFrom || m.membersPending()
}

func (m *Machine) membersPending() bool {
	for _, entry := range m.log.Slice(m.commit+1, maxProposals) {
		if entry.GetKind() == wire.EntryKind_ENTRY_KIND_MEMBERS {
			return true
		}
	}
	return false
}

// Joined reports whether a committed membership gives this instance a vote.
func (m *Machine) Joined() bool {
	return m.members.IsVoter(m.ID()) && !m.membersPending()
}

// Join takes the next step by which an instance with an empty data folder takes the place of the lost one at its address: it is added as a learner, and once it holds all that is committed the lost identity is removed and the new one promoted, each change committed before the next.
func (m *Machine) Join(now time.Time, joiner *wire.ControlMember) error {
	if m.role != Leader || !m.mayLead(now) {
		return &NotLeaderError{
			Leader: m.leader,
		}
	}
	if m.changePending() {
		return nil
	}
	if m.members.IsVoter(joiner.GetId()) {
		return m.noteZone(now, joiner)
	}
	next, err := m.joinStep(now, joiner)
	if err != nil || next == nil {
		return err
	}
	_, _, err = m.ProposeMembers(now, next)
	return err
}

// noteZone completes the record of a founder, whose availability zone only itself knew.
func (m *Machine) noteZone(now time.Time, joiner *wire.ControlMember) error {
	if !m.OpenMembership || m.members.Find(joiner.GetId()).GetZone() == joiner.GetZone() {
		return nil
	}
	_, _, err := m.ProposeMembers(now, m.members.With(asVoter(joiner)))
	return err
}

// joinStep returns the membership that the joiner needs next, or nil while it has to catch up.
func (m *Machine) joinStep(now time.Time, joiner *wire.ControlMember) (Members, error) {
	lost := m.lostFor(now, joiner)
	if m.members.Find(joiner.GetId()) == nil {
		return m.addLearner(now, lost, joiner)
	}
	if m.Match(joiner.GetId()) < m.commit {
		return nil, nil
	}
	if lost != nil {
		return m.members.Without(lost.GetId()), m.checkLost(now, lost, joiner)
	}
	return m.members.With(asVoter(joiner)), nil
}

// lostFor returns the member whose place the joiner takes: the one at its address, or in an open membership one of its availability zone that has been silent for long.
func (m *Machine) lostFor(now time.Time, joiner *wire.ControlMember) *wire.ControlMember {
	lost := m.members.lostAt(joiner)
	if lost != nil || !m.OpenMembership {
		return lost
	}
	for _, member := range m.members {
		if member.GetZone() == joiner.GetZone() && member.GetId() != joiner.GetId() && m.isSilent(now, member, replaceAfter) {
			return member
		}
	}
	return nil
}

// isSilent reports whether the leader has led and not heard the member for the time.
func (m *Machine) isSilent(now time.Time, member *wire.ControlMember, since time.Duration) bool {
	return member.GetId() != m.ID() && now.Sub(m.peer(member.GetId()).heardAt) >= since && now.Sub(m.leadsSince) >= since
}

func (m *Machine) addLearner(now time.Time, lost, joiner *wire.ControlMember) (Members, error) {
	if lost == nil && m.OpenMembership {
		return m.members.With(asLearner(joiner)), nil
	}
	if lost == nil {
		return nil, joinError(joiner, "no control instance is known at its address; plan add-control first")
	}
	if err := m.checkLost(now, lost, joiner); err != nil {
		return nil, err
	}
	if lost.GetLearner() {
		return m.members.Without(lost.GetId()).With(asLearner(joiner)), nil
	}
	return m.members.With(asLearner(joiner)), nil
}

// checkLost holds that the identity to be replaced has been silent since before this leader's term or for an election timeout.
func (m *Machine) checkLost(now time.Time, lost, joiner *wire.ControlMember) error {
	if !m.isSilent(now, lost, m.timing.Election) {
		return joinError(joiner, fmt.Sprintf("%q at its address was heard lately", lost.GetId()))
	}
	return nil
}

func joinError(joiner *wire.ControlMember, reason string) error {
	return &JoinError{
		ID:      joiner.GetId(),
		Address: joiner.GetAddress(),
		Reason:  reason,
	}
}

func asLearner(member *wire.ControlMember) *wire.ControlMember {
	return &wire.ControlMember{
		Id:      member.GetId(),
		Address: member.GetAddress(),
		Learner: true,
		Zone:    member.GetZone(),
	}
}

func asVoter(member *wire.ControlMember) *wire.ControlMember {
	return &wire.ControlMember{
		Id:      member.GetId(),
		Address: member.GetAddress(),
		Zone:    member.GetZone(),
	}
}

// Follow takes the next membership step towards what operators have set: an instance that they added is a learner until it joins, and one that they removed leaves.
func (m *Machine) Follow(now time.Time, settings []*wire.ControlSetting) {
	if m.role != Leader || m.changePending() {
		return
	}
	for _, setting := range settings {
		if next := m.members.after(setting); next != nil {
			_, _, _ = m.ProposeMembers(now, next)
			return
		}
	}
}

// after returns the membership that the setting asks for, or nil where it is in force.
func (m Members) after(setting *wire.ControlSetting) Members {
	if setting.GetRemoved() {
		if m.Find(setting.GetId()) == nil || m.IsVoter(setting.GetId()) && m.Voters() == 1 {
			return nil
		}
		return m.Without(setting.GetId())
	}
	added := &wire.ControlMember{
		Id:      setting.GetId(),
		Address: setting.GetAddress(),
	}
	if m.Find(added.GetId()) != nil || m.lostAt(added) != nil {
		return nil
	}
	return m.With(asLearner(added))
}

// lostAt returns the member of another identity at the joiner's address, or nil.
func (m Members) lostAt(joiner *wire.ControlMember) *wire.ControlMember {
	for _, member := range m {
		if member.GetAddress() == joiner.GetAddress() && member.GetId() != joiner.GetId() {
			return member
		}
	}
	return nil
}
