package journaler

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// maxEntriesPerAppend limits the entries in one append request.
	maxEntriesPerAppend = 256
	// maxTrackedRounds limits the append rounds whose send times are kept to compute the lease.
	maxTrackedRounds = 4096
	// maxUncommittedEntries limits the uncommitted entries at the leader; further proposals are rejected.
	maxUncommittedEntries = 4096
)

// Role is the role of a control instance in the current term.
type Role int

// The Raft roles, with a pre-candidate stage for pre-votes.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Timing configures the election, heartbeat and lease periods.
type Timing struct {
	// ElectionTimeout is the minimum election timeout; the actual one is chosen at random up to twice as long.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the interval between the leader's append rounds while there is nothing to replicate.
	HeartbeatInterval time.Duration
	// LeaseDuration is how long a leader remains leader without acknowledgements from a quorum. It must be shorter than ElectionTimeout.
	LeaseDuration time.Duration
}

// Actions lists the work of the caller, in order: persist and sync, then send messages, then apply entries.
type Actions struct {
	// HardState is the hard state to persist, or nil if unchanged.
	HardState *wire.HardState
	// Snapshot replaces the stored log up to its index, if not nil.
	Snapshot *wire.JournalSnapshot
	// TruncateFrom is the first stored index to remove, or 0 for none.
	TruncateFrom uint64
	// Entries are appended to the stored log and synced.
	Entries []*wire.JournalEntry
	// Messages are sent after the sync.
	Messages []*wire.JournalMessage
	// CommitIndex is the commit index, stored along with the entries.
	CommitIndex uint64
	// CommittedEntries are the newly committed entries, applied in order after the sync.
	CommittedEntries []*wire.JournalEntry
}

// NeedsSync reports whether the actions include writes that must be synced first.
func (a *Actions) NeedsSync() bool {
	return a.HardState != nil || a.Snapshot != nil || a.TruncateFrom > 0 || len(a.Entries) > 0
}

// IsEmpty reports whether there is nothing to do.
func (a *Actions) IsEmpty() bool {
	return !a.NeedsSync() && len(a.Messages) == 0 && len(a.CommittedEntries) == 0
}

// NotLeaderError rejects a proposal to an instance that is not the leader.
type NotLeaderError struct {
	Leader string
}

// Error includes the leader, if known.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("this control instance does not lead; leader %q", e.Leader)
}

// BusyError rejects a proposal while too many entries are uncommitted.
type BusyError struct {
	Uncommitted int
}

// Error includes the number of uncommitted entries.
func (e *BusyError) Error() string {
	return fmt.Sprintf("%d proposals await their commit", e.Uncommitted)
}

// PersistentState is the stored state that an instance restarts from.
type PersistentState struct {
	HardState *wire.HardState
	Snapshot  *wire.JournalSnapshot
	Entries   []*wire.JournalEntry
	// CommitIndex is the commit index as of the last write to the log.
	CommitIndex uint64
}

type progress struct {
	nextIndex  uint64
	matchIndex uint64
	// ackedRoundSentAt is the send time of the latest acknowledged append round.
	ackedRoundSentAt time.Time
	// snapshotSentAt is when a snapshot was last sent to the peer.
	snapshotSentAt time.Time
}

// Machine is the consensus state machine of one control instance. It is not safe for concurrent use.
type Machine struct {
	// OpenMembership allows instances to join without being added by an operator, and removes members that are silent.
	OpenMembership bool
	// ToleratedLosses is the number of disks that may be lost at once; it limits the removal of silent members. 0 stands for 1.
	ToleratedLosses int

	timing Timing
	random *rand.Rand

	hardState        *wire.HardState
	log              *Log
	commitIndex      uint64
	deliveredIndex   uint64
	role             Role
	leader           string
	snapshotMembers  Members
	members          Members
	electionDeadline time.Time
	leaderContactAt  time.Time
	lastRoundAt      time.Time
	votes            map[string]bool
	lostElection     LostElection
	peers            map[string]*progress
	// termStartIndex and electedAt are the index of the leader's first entry in its term and the time of its election.
	termStartIndex uint64
	electedAt      time.Time
	round          uint64
	roundSentAt    map[uint64]time.Time
	// roundPending is set while new entries or a new commit index have to be sent to the peers. roundPendingSince is when it was set; the lease counts from then.
	roundPending      bool
	roundPendingSince time.Time
	actions           Actions
	// early holds messages that depend on no write; see TakeEarlyMessages.
	early []*wire.JournalMessage
	saved savedState
	lag   lag
}

// New returns a follower with the saved state.
func New(timing Timing, random *rand.Rand, saved PersistentState, now time.Time) *Machine {
	m := &Machine{
		timing:      timing,
		random:      random,
		hardState:   proto.CloneOf(saved.HardState),
		log:         NewLog(saved.Snapshot, saved.Entries),
		peers:       map[string]*progress{},
		roundSentAt: map[uint64]time.Time{},
	}
	m.snapshotMembers = saved.Snapshot.GetMembers().GetMembers()
	m.commitIndex = saved.Snapshot.GetIndex()
	m.deliveredIndex = m.commitIndex
	m.updateMembers()
	m.saved.init(m.log.LastIndex(), m.Term())
	m.commitTo(saved.CommitIndex)
	// The time of the last contact with a leader is not persisted. Assume now, so that no vote is granted while that leader's lease may still hold.
	m.leaderContactAt = now
	m.resetElectionTimeout(now)
	return m
}

// ID returns the identity of this instance.
func (m *Machine) ID() string { return m.hardState.GetId() }

// Role returns the current role.
func (m *Machine) Role() Role { return m.role }

// Term returns the current term.
func (m *Machine) Term() uint64 { return m.hardState.GetTerm() }

// Leader returns the identity of the known leader, or "".
func (m *Machine) Leader() string { return m.leader }

// CommitIndex returns the commit index.
func (m *Machine) CommitIndex() uint64 { return m.commitIndex }

// LastIndex returns the index of the last log entry, committed or not.
func (m *Machine) LastIndex() uint64 { return m.log.LastIndex() }

// Members returns the latest membership in the log, which takes effect even before it is committed.
func (m *Machine) Members() Members { return m.members }

// MatchIndex returns the highest index known to be replicated to the peer, or 0 if the peer is unknown.
func (m *Machine) MatchIndex(id string) uint64 {
	peer, ok := m.peers[id]
	if !ok {
		return 0
	}
	return peer.matchIndex
}

// HasLease reports whether this leader may serve reads: a quorum has acknowledged it within the lease, and it has committed an entry of its own term, so its commit index covers all entries committed before.
func (m *Machine) HasLease(now time.Time) bool {
	return m.role == Leader && m.commitIndex >= m.termStartIndex && m.hasQuorumContact(now)
}

// canRemainLeader reports whether a quorum has acknowledged this leader within the lease, or its election is too recent to expect that.
func (m *Machine) canRemainLeader(now time.Time) bool {
	return now.Sub(m.electedAt) < m.timing.LeaseDuration || m.hasQuorumContact(now)
}

func (m *Machine) hasQuorumContact(now time.Time) bool {
	return m.members.HasQuorum(func(id string) bool {
		return m.isHeard(now, id)
	})
}

// TakeActions returns the actions accumulated since the last call, which must be durable by now. A single append round covers everything proposed and committed in between.
func (m *Machine) TakeActions() Actions {
	m.saved.complete()
	if m.roundPending && m.role == Leader {
		m.sendAppends(m.roundPendingSince)
	}
	m.roundPending = false
	actions := m.actions
	actions.CommitIndex = m.commitIndex
	m.actions = Actions{}
	m.saved.begin(m.log.LastIndex(), m.Term())
	return actions
}

// TakeEarlyMessages returns the messages accumulated since the last call that may be sent while the actions of an earlier call of TakeActions are not durable yet.
func (m *Machine) TakeEarlyMessages() []*wire.JournalMessage {
	messages := m.early
	m.early = nil
	return messages
}

// Tick starts elections and sends heartbeats that are due.
func (m *Machine) Tick(now time.Time) {
	if m.role == Leader {
		m.tickLeader(now)
		return
	}
	if now.Before(m.electionDeadline) || !m.members.IsVoter(m.ID()) {
		return
	}
	m.startPreVote(now)
}

// Propose appends an entry if this instance is the leader, and returns its index and term.
func (m *Machine) Propose(now time.Time, kind wire.EntryKind, payload []byte) (uint64, uint64, error) {
	if m.role != Leader || !m.canRemainLeader(now) {
		return 0, 0, &NotLeaderError{
			Leader: m.leader,
		}
	}
	uncommitted := int(m.log.LastIndex() - m.commitIndex)
	if uncommitted >= maxUncommittedEntries {
		return 0, 0, &BusyError{
			Uncommitted: uncommitted,
		}
	}
	index := m.appendNewEntry(kind, payload)
	m.scheduleRound(now)
	m.advanceCommit()
	return index, m.Term(), nil
}

func (m *Machine) scheduleRound(now time.Time) {
	if !m.roundPending {
		m.roundPendingSince = now
	}
	m.roundPending = true
}

// SnapshotHeader returns a snapshot at the index without its state, or nil if the entry is not in the log or not yet delivered for applying.
func (m *Machine) SnapshotHeader(index uint64) *wire.JournalSnapshot {
	term, ok := m.log.Term(index)
	if !ok || index > m.deliveredIndex {
		return nil
	}
	return &wire.JournalSnapshot{
		Index: index,
		Term:  term,
		Members: &wire.MemberList{
			Members: m.membersAt(index),
		},
	}
}

// Compact replaces the log up to the snapshot, which the caller has made from a SnapshotHeader, and reports whether it did. A snapshot that is not newer than the current one is ignored.
func (m *Machine) Compact(snapshot *wire.JournalSnapshot) bool {
	if m.log.FirstIndex() > snapshot.GetIndex() {
		return false
	}
	m.log.Compact(snapshot)
	m.snapshotMembers = snapshot.GetMembers().GetMembers()
	m.actions.Snapshot = snapshot
	return true
}

// Step processes one message from another control instance.
func (m *Machine) Step(now time.Time, msg *wire.JournalMessage) {
	if msg.GetTo() != m.ID() {
		return
	}
	if !m.checkTerm(now, msg) {
		return
	}
	switch body := msg.GetBody().(type) {
	case *wire.JournalMessage_VoteAsk:
		m.handleVoteRequest(now, msg, body.VoteAsk)
	case *wire.JournalMessage_VoteReply:
		m.handleVoteReply(now, msg, body.VoteReply)
	case *wire.JournalMessage_AppendAsk:
		m.handleAppendRequest(now, msg, body.AppendAsk)
	case *wire.JournalMessage_AppendReply:
		m.handleAppendReply(now, msg, body.AppendReply)
	case *wire.JournalMessage_SnapshotAsk:
		m.handleSnapshotRequest(now, msg, body.SnapshotAsk)
	}
}

// checkTerm compares the message's term with the current one and reports whether to process the message. Vote requests are ignored while in contact with a leader. Pre-vote requests and granted pre-votes carry the next term and do not change the current one.
func (m *Machine) checkTerm(now time.Time, msg *wire.JournalMessage) bool {
	voteRequest := msg.GetVoteAsk()
	if voteRequest != nil && m.hasLeaderContact(now) {
		return false
	}
	if voteRequest.GetPre() || (msg.GetVoteReply().GetPre() && msg.GetVoteReply().GetGranted()) {
		return true
	}
	if msg.GetTerm() > m.Term() {
		m.becomeFollower(now, msg.GetTerm(), "")
		return true
	}
	if msg.GetTerm() < m.Term() {
		m.replyToStaleLeader(msg)
		return false
	}
	return true
}

// replyToStaleLeader sends the current term to a leader of an older term, so that it steps down. Other messages of an older term are dropped.
func (m *Machine) replyToStaleLeader(msg *wire.JournalMessage) {
	if msg.GetAppendAsk() == nil && msg.GetSnapshotAsk() == nil {
		return
	}
	m.send(&wire.JournalMessage{
		To:   msg.GetFrom(),
		Term: m.Term(),
		Body: &wire.JournalMessage_AppendReply{
			AppendReply: &wire.AppendReply{},
		},
	})
}

func (m *Machine) send(msg *wire.JournalMessage) {
	msg.From = m.ID()
	m.actions.Messages = append(m.actions.Messages, msg)
}

func (m *Machine) saveHardState() {
	m.actions.HardState = proto.CloneOf(m.hardState)
}

func (m *Machine) becomeFollower(now time.Time, term uint64, leader string) {
	if term > m.Term() {
		m.hardState.Term = term
		m.hardState.Vote = ""
		m.saveHardState()
	}
	m.role = Follower
	m.leader = leader
	m.resetElectionTimeout(now)
}

func (m *Machine) resetElectionTimeout(now time.Time) {
	jitter := time.Duration(m.random.Int64N(int64(m.timing.ElectionTimeout)))
	m.electionDeadline = now.Add(m.timing.ElectionTimeout + jitter)
}

// hasLeaderContact reports whether this instance is a leader that can remain so, or was contacted by a leader within the minimum election timeout.
func (m *Machine) hasLeaderContact(now time.Time) bool {
	if m.role == Leader {
		return m.canRemainLeader(now)
	}
	return now.Sub(m.leaderContactAt) < m.timing.ElectionTimeout
}

func (m *Machine) updateMembers() {
	m.members = m.membersAt(m.log.LastIndex())
}

func (m *Machine) membersAt(index uint64) Members {
	for i := index; i >= m.log.FirstIndex(); i-- {
		entry := m.log.entries[i-m.log.FirstIndex()]
		if entry.GetKind() != wire.EntryKind_ENTRY_KIND_MEMBERS {
			continue
		}
		list := &wire.MemberList{}
		if proto.Unmarshal(entry.GetPayload(), list) == nil {
			return list.GetMembers()
		}
	}
	return m.snapshotMembers
}

// LogLength returns the number of entries after the snapshot.
func (m *Machine) LogLength() int { return len(m.log.entries) }

// LogBytes returns the total payload size of the entries after the snapshot.
func (m *Machine) LogBytes() int { return m.log.payloadBytes }

// InContact reports whether this instance is the leader and holds its lease, or was contacted by the leader within the election timeout.
func (m *Machine) InContact(now time.Time) bool {
	if m.role == Leader {
		return m.HasLease(now)
	}
	return m.leader != "" && m.hasLeaderContact(now)
}
