package journaler

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

// maxMemberSilence is the silence after which a member of an open membership is removed. It is longer than a restart; a member that returns later joins again.
const maxMemberSilence = 3 * time.Second

// replacedSilenceElections is the silence, in election timeouts since the election of a leader, after which a member that this leader has never heard is removed if another one of its availability zone is heard. Such a member has been replaced; waiting for maxMemberSilence after each election would keep its vote while leaders change often.
const replacedSilenceElections = 2

// ChangePendingError rejects a membership change while an earlier one may be uncommitted.
type ChangePendingError struct {
	CommitIndex uint64
}

// Error includes the commit index.
func (e *ChangePendingError) Error() string {
	return fmt.Sprintf("another change of the control instances is not committed yet; committed up to %d", e.CommitIndex)
}

// JoinError rejects the join request of an instance.
type JoinError struct {
	ID      string
	Address string
	Reason  string
}

// Error includes the instance and the reason.
func (e *JoinError) Error() string {
	return fmt.Sprintf("control instance %q at %s may not join: %s", e.ID, e.Address, e.Reason)
}

// ProposeMembers appends a membership entry and returns its index and term. The new membership must differ from the current one by at most one voter.
func (m *Machine) ProposeMembers(now time.Time, next Members) (uint64, uint64, error) {
	if m.role != Leader || !m.canRemainLeader(now) {
		return 0, 0, &NotLeaderError{
			Leader: m.leader,
		}
	}
	if m.hasPendingChange() {
		return 0, 0, &ChangePendingError{
			CommitIndex: m.commitIndex,
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

// hasPendingChange reports whether a membership change may be uncommitted. A leader that has not committed an entry of its own term cannot tell.
func (m *Machine) hasPendingChange() bool {
	return m.commitIndex < m.termStartIndex || m.hasUncommittedMembers()
}

func (m *Machine) hasUncommittedMembers() bool {
	for _, entry := range m.log.Slice(m.commitIndex+1, maxUncommittedEntries) {
		if entry.GetKind() == wire.EntryKind_ENTRY_KIND_MEMBERS {
			return true
		}
	}
	return false
}

// HasJoined reports whether this instance is a voter in a committed membership.
func (m *Machine) HasJoined() bool {
	return m.members.IsVoter(m.ID()) && !m.hasUncommittedMembers()
}

// Join proposes the next membership change for an instance that starts with an empty data folder. The joiner is added as a learner; once it has caught up with the commit index, the member that it replaces, if any, is removed and the joiner becomes a voter. Each change is committed before the next one is proposed.
func (m *Machine) Join(now time.Time, joiner *wire.ControlMember) error {
	if m.role != Leader || !m.canRemainLeader(now) {
		return &NotLeaderError{
			Leader: m.leader,
		}
	}
	if m.hasPendingChange() {
		return nil
	}
	if m.members.IsVoter(joiner.GetId()) {
		return m.recordZone(now, joiner)
	}
	next, err := m.nextMembership(now, joiner)
	if err != nil || next == nil {
		return err
	}
	_, _, err = m.ProposeMembers(now, next)
	return err
}

// recordZone updates the zone of a voter in an open membership. The zone of a founding member is known only to that member until it calls Join.
func (m *Machine) recordZone(now time.Time, joiner *wire.ControlMember) error {
	if !m.OpenMembership || m.members.Find(joiner.GetId()).GetZone() == joiner.GetZone() {
		return nil
	}
	_, _, err := m.ProposeMembers(now, m.members.With(asVoter(joiner)))
	return err
}

// nextMembership returns the next membership towards making the joiner a voter, or nil while the joiner has to catch up.
func (m *Machine) nextMembership(now time.Time, joiner *wire.ControlMember) (Members, error) {
	replaced := m.memberToReplace(now, joiner)
	if m.members.Find(joiner.GetId()) == nil {
		return m.addLearner(now, replaced, joiner)
	}
	if m.MatchIndex(joiner.GetId()) < m.commitIndex {
		return nil, nil
	}
	if replaced != nil {
		return m.members.Without(replaced.GetId()), m.checkReplaceable(now, replaced, joiner)
	}
	return m.members.With(asVoter(joiner)), nil
}

// memberToReplace returns the member that the joiner replaces: the one at its address or, in an open membership, one of its zone that is gone.
func (m *Machine) memberToReplace(now time.Time, joiner *wire.ControlMember) *wire.ControlMember {
	replaced := m.members.otherAtAddress(joiner)
	if replaced != nil || !m.OpenMembership {
		return replaced
	}
	for _, member := range m.members {
		if member.GetZone() == joiner.GetZone() && member.GetId() != joiner.GetId() && m.isSilent(now, member, m.goneAfter(member, true)) {
			return member
		}
	}
	return nil
}

// isSilent reports whether the member has acknowledged no append round sent within the duration, and this leader was elected before that.
func (m *Machine) isSilent(now time.Time, member *wire.ControlMember, duration time.Duration) bool {
	return member.GetId() != m.ID() && now.Sub(m.peer(member.GetId()).ackedRoundSentAt) >= duration && now.Sub(m.electedAt) >= duration
}

// goneAfter returns how long the member of an open membership has to be silent until it counts as gone. isReplaced is set if another instance of its zone is heard.
func (m *Machine) goneAfter(member *wire.ControlMember, isReplaced bool) time.Duration {
	if isReplaced && m.peer(member.GetId()).ackedRoundSentAt.IsZero() {
		return replacedSilenceElections * m.timing.ElectionTimeout
	}
	return maxMemberSilence
}

// isZoneHeard reports whether another member of the member's zone is heard, or this leader is in it.
func (m *Machine) isZoneHeard(now time.Time, member *wire.ControlMember) bool {
	return member.GetZone() != "" && slices.ContainsFunc(m.members, func(other *wire.ControlMember) bool {
		return other.GetId() != member.GetId() && other.GetZone() == member.GetZone() && m.isHeard(now, other.GetId())
	})
}

// isHeard reports whether the member is this leader or has acknowledged it within the lease.
func (m *Machine) isHeard(now time.Time, id string) bool {
	return id == m.ID() || now.Sub(m.peer(id).ackedRoundSentAt) < m.timing.LeaseDuration
}

func (m *Machine) addLearner(now time.Time, replaced, joiner *wire.ControlMember) (Members, error) {
	if replaced == nil && m.OpenMembership {
		return m.members.With(asLearner(joiner)), nil
	}
	if replaced == nil {
		return nil, newJoinError(joiner, "no control instance is known at its address; plan add-control first")
	}
	if err := m.checkReplaceable(now, replaced, joiner); err != nil {
		return nil, err
	}
	if replaced.GetLearner() {
		return m.members.Without(replaced.GetId()).With(asLearner(joiner)), nil
	}
	return m.members.With(asLearner(joiner)), nil
}

// checkReplaceable returns a JoinError unless the replaced member has been silent for an election timeout.
func (m *Machine) checkReplaceable(now time.Time, replaced, joiner *wire.ControlMember) error {
	if !m.isSilent(now, replaced, m.timing.ElectionTimeout) {
		return newJoinError(joiner, fmt.Sprintf("%q at its address was heard lately", replaced.GetId()))
	}
	return nil
}

// removeSilentVoter proposes the removal of the voter that has been silent longest among those that are gone. Otherwise an instance that is gone for good would count in every quorum.
func (m *Machine) removeSilentVoter(now time.Time) {
	if !m.OpenMembership || m.members.VoterCount() <= m.minVoters() || m.hasPendingChange() {
		return
	}
	var silent *wire.ControlMember
	for _, member := range m.members {
		isCandidate := !member.GetLearner() && m.isSilent(now, member, m.goneAfter(member, m.isZoneHeard(now, member)))
		if isCandidate && (silent == nil || m.peer(member.GetId()).ackedRoundSentAt.Before(m.peer(silent.GetId()).ackedRoundSentAt)) {
			silent = member
		}
	}
	if silent != nil {
		// The next tick retries a proposal that is rejected.
		_, _, _ = m.ProposeMembers(now, m.members.Without(silent.GetId()))
	}
}

// minVoters returns the number of voters whose quorums hold each committed entry on more disks than may be lost at once.
func (m *Machine) minVoters() int {
	return 2*max(m.ToleratedLosses, 1) + 1
}

func newJoinError(joiner *wire.ControlMember, reason string) error {
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

// ReconcileMembers proposes the next membership change towards the instances that operators have configured: an added instance is a learner until it joins, and a removed one is taken out of the membership.
func (m *Machine) ReconcileMembers(now time.Time, settings []*wire.ControlSetting) {
	if m.role != Leader || m.hasPendingChange() {
		return
	}
	for _, setting := range settings {
		if next := m.members.withSetting(setting); next != nil {
			_, _, _ = m.ProposeMembers(now, next)
			return
		}
	}
}

// withSetting returns the membership with the setting applied, or nil if it needs no change or removes the last voter.
func (m Members) withSetting(setting *wire.ControlSetting) Members {
	if setting.GetRemoved() {
		if m.Find(setting.GetId()) == nil || m.IsVoter(setting.GetId()) && m.VoterCount() == 1 {
			return nil
		}
		return m.Without(setting.GetId())
	}
	added := &wire.ControlMember{
		Id:      setting.GetId(),
		Address: setting.GetAddress(),
	}
	if m.Find(added.GetId()) != nil || m.otherAtAddress(added) != nil {
		return nil
	}
	return m.With(asLearner(added))
}

// otherAtAddress returns the member with the joiner's address and another identity, or nil.
func (m Members) otherAtAddress(joiner *wire.ControlMember) *wire.ControlMember {
	for _, member := range m {
		if member.GetAddress() == joiner.GetAddress() && member.GetId() != joiner.GetId() {
			return member
		}
	}
	return nil
}
