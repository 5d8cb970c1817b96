package journaler

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// maxBatch is the number of entries in one append at most.
	maxBatch = 256
	// maxRounds is the number of rounds whose time of sending is kept for the lease.
	maxRounds = 4096
	// maxProposals is the number of entries that may await their commit.
	maxProposals = 4096
)

// Role is what a control instance is at the moment.
type Role int

// The roles of a control instance.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Timing is the machine's periods.
type Timing struct {
	// Election is the shortest silence after which a follower stands for election.
	Election time.Duration
	// Heartbeat is the period of the leader's appends.
	Heartbeat time.Duration
	// Lease is how long a leader stays one without hearing from a quorum; less than Election.
	Lease time.Duration
}

// Actions is what the driver must do: sync first, then send, then apply.
type Actions struct {
	// Hard is to be synced, where it is not nil.
	Hard *wire.HardState
	// Snapshot replaces the stored journal up to its index, where it is not nil.
	Snapshot *wire.JournalSnapshot
	// TruncateFrom is the first stored index to be dropped; 0 for none.
	TruncateFrom uint64
	// Entries are to be appended and synced.
	Entries []*wire.JournalEntry
	// Messages are to be sent after the sync.
	Messages []*wire.JournalMessage
	// Commit is the highest committed index, to be stored beside the entries.
	Commit uint64
	// Committed are to be applied in order after the sync.
	Committed []*wire.JournalEntry
}

// IsDurable reports whether something must be synced before the rest is done.
func (a *Actions) IsDurable() bool {
	return a.Hard != nil || a.Snapshot != nil || a.TruncateFrom > 0 || len(a.Entries) > 0
}

// IsEmpty reports whether there is nothing to do.
func (a *Actions) IsEmpty() bool {
	return !a.IsDurable() && len(a.Messages) == 0 && len(a.Committed) == 0
}

// NotLeaderError is the refusal of a proposal by an instance that does not lead.
type NotLeaderError struct {
	Leader string
}

// Error names the leader where one is known.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("this control instance does not lead; leader %q", e.Leader)
}

// BusyError is the refusal of a proposal while too many await their commit.
type BusyError struct {
	Waiting int
}

// Error says how many proposals are waiting.
func (e *BusyError) Error() string {
	return fmt.Sprintf("%d proposals await their commit", e.Waiting)
}

// Saved is what a restart finds in the data folder.
type Saved struct {
	Hard     *wire.HardState
	Snapshot *wire.JournalSnapshot
	Entries  []*wire.JournalEntry
	// Commit is the highest index that was known to be committed when the journal was written last.
	Commit uint64
}

type progress struct {
	next    uint64
	match   uint64
	heardAt time.Time
	// snapshotAt is when a snapshot was last sent.
	snapshotAt time.Time
}

// Machine is one control instance's part in the agreement.
type Machine struct {
	// OpenMembership lets instances join that no operator has added, and takes the vote of a silent one in the same availability zone away in exchange.
	OpenMembership bool

	timing Timing
	random *rand.Rand

	hard      *wire.HardState
	log       *Log
	commit    uint64
	delivered uint64
	role      Role
	leader    string
	base      Members
	members   Members
	electAt   time.Time
	heardAt   time.Time
	beatAt    time.Time
	votes     map[string]bool
	peers     map[string]*progress
	// leadsFrom and leadsSince are the index and the time at which the leader was elected.
	leadsFrom  uint64
	leadsSince time.Time
	round      uint64
	roundAt    map[uint64]time.Time
	// owesRound is set while the others are to hear of new entries or commits, and owesSince is when it was.
	owesRound bool
	owesSince time.Time
	actions   Actions
}

// New returns a follower that knows just what was saved.
func New(timing Timing, random *rand.Rand, saved Saved, now time.Time) *Machine {
	m := &Machine{
		timing:  timing,
		random:  random,
		hard:    proto.CloneOf(saved.Hard),
		log:     NewLog(saved.Snapshot, saved.Entries),
		peers:   map[string]*progress{},
		roundAt: map[uint64]time.Time{},
	}
	m.base = saved.Snapshot.GetMembers().GetMembers()
	m.commit = saved.Snapshot.GetIndex()
	m.delivered = m.commit
	m.refreshMembers()
	m.commitTo(saved.Commit)
	// A restart has forgotten when it last confirmed a leader's lease, so it takes that to be now.
	m.heardAt = now
	m.resetElection(now)
	return m
}

// ID returns the instance's own identity.
func (m *Machine) ID() string { return m.hard.GetId() }

// Role returns what the instance is now.
func (m *Machine) Role() Role { return m.role }

// Term returns the current term.
func (m *Machine) Term() uint64 { return m.hard.GetTerm() }

// Leader returns the identity of the known leader, or "".
func (m *Machine) Leader() string { return m.leader }

// Commit returns the highest index known to be committed.
func (m *Machine) Commit() uint64 { return m.commit }

// LastIndex returns the highest index in the journal, committed or not.
func (m *Machine) LastIndex() uint64 { return m.log.LastIndex() }

// Members returns the membership in force, which is the newest in the journal.
func (m *Machine) Members() Members { return m.members }

// Match returns the highest index known to be durable on a peer.
func (m *Machine) Match(id string) uint64 {
	peer, ok := m.peers[id]
	if !ok {
		return 0
	}
	return peer.match
}

// LeaseHolds reports whether this leader may answer reads: a quorum has confirmed it within the lease, and it has committed an entry of its own term, so that it knows of all that was committed before.
func (m *Machine) LeaseHolds(now time.Time) bool {
	return m.role == Leader && m.commit >= m.leadsFrom && m.hearsQuorum(now)
}

// mayLead reports whether a leader is to go on: a quorum confirms it, or it was elected too lately for that.
func (m *Machine) mayLead(now time.Time) bool {
	return now.Sub(m.leadsSince) < m.timing.Lease || m.hearsQuorum(now)
}

func (m *Machine) hearsQuorum(now time.Time) bool {
	return m.members.HasQuorum(func(id string) bool {
		return id == m.ID() || now.Sub(m.peer(id).heardAt) < m.timing.Lease
	})
}

// Take returns the actions gathered since the last call; one round tells the others of all that was proposed and committed in between.
func (m *Machine) Take() Actions {
	if m.owesRound && m.role == Leader {
		m.sendAppends(m.owesSince)
	}
	m.owesRound = false
	taken := m.actions
	taken.Commit = m.commit
	m.actions = Actions{}
	return taken
}

// Tick moves the machine's time on.
func (m *Machine) Tick(now time.Time) {
	if m.role == Leader {
		m.tickLeader(now)
		return
	}
	if now.Before(m.electAt) || !m.members.IsVoter(m.ID()) {
		return
	}
	m.startPreVote(now)
}

// Propose appends an entry if this instance leads, and returns its index and term.
func (m *Machine) Propose(now time.Time, kind wire.EntryKind, payload []byte) (uint64, uint64, error) {
	if m.role != Leader || !m.mayLead(now) {
		return 0, 0, &NotLeaderError{
			Leader: m.leader,
		}
	}
	waiting := int(m.log.LastIndex() - m.commit)
	if waiting >= maxProposals {
		return 0, 0, &BusyError{
			Waiting: waiting,
		}
	}
	index := m.appendOwn(kind, payload)
	m.oweRound(now)
	m.advanceCommit()
	return index, m.Term(), nil
}

func (m *Machine) oweRound(now time.Time) {
	if !m.owesRound {
		m.owesSince = now
	}
	m.owesRound = true
}

// Header returns a snapshot at the index that lacks just the state, or nil where the index is not both held and handed out for applying.
func (m *Machine) Header(index uint64) *wire.JournalSnapshot {
	term, held := m.log.Term(index)
	if !held || index > m.delivered {
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

// Compact replaces the applied prefix by a snapshot made from its Header; one that another has overtaken is passed over.
func (m *Machine) Compact(snapshot *wire.JournalSnapshot) {
	if m.log.FirstIndex() > snapshot.GetIndex() {
		return
	}
	m.log.Compact(snapshot)
	m.base = snapshot.GetMembers().GetMembers()
	m.actions.Snapshot = snapshot
}

// Step takes one message from another control instance.
func (m *Machine) Step(now time.Time, msg *wire.JournalMessage) {
	if msg.GetTo() != m.ID() {
		return
	}
	if !m.admitTerm(now, msg) {
		return
	}
	switch body := msg.GetBody().(type) {
	case *wire.JournalMessage_VoteAsk:
		m.stepVoteAsk(now, msg, body.VoteAsk)
	case *wire.JournalMessage_VoteReply:
		m.stepVoteReply(now, msg, body.VoteReply)
	case *wire.JournalMessage_AppendAsk:
		m.stepAppendAsk(now, msg, body.AppendAsk)
	case *wire.JournalMessage_AppendReply:
		m.stepAppendReply(now, msg, body.AppendReply)
	case *wire.JournalMessage_SnapshotAsk:
		m.stepSnapshotAsk(now, msg, body.SnapshotAsk)
	}
}

// admitTerm compares terms before anything else; it reports whether the message is to be looked at.
func (m *Machine) admitTerm(now time.Time, msg *wire.JournalMessage) bool {
	ask := msg.GetVoteAsk()
	if ask != nil && m.hearsLeader(now) {
		return false
	}
	if ask.GetPre() || (msg.GetVoteReply().GetPre() && msg.GetVoteReply().GetGranted()) {
		return true
	}
	if msg.GetTerm() > m.Term() {
		m.becomeFollower(now, msg.GetTerm(), "")
		return true
	}
	if msg.GetTerm() < m.Term() {
		m.answerStale(msg)
		return false
	}
	return true
}

// answerStale tells a sender of an older term that it is behind.
func (m *Machine) answerStale(msg *wire.JournalMessage) {
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

func (m *Machine) saveHard() {
	m.actions.Hard = proto.CloneOf(m.hard)
}

func (m *Machine) becomeFollower(now time.Time, term uint64, leader string) {
	if term > m.Term() {
		m.hard.Term = term
		m.hard.Vote = ""
		m.saveHard()
	}
	m.role = Follower
	m.leader = leader
	m.resetElection(now)
}

func (m *Machine) resetElection(now time.Time) {
	jitter := time.Duration(m.random.Int64N(int64(m.timing.Election)))
	m.electAt = now.Add(m.timing.Election + jitter)
}

// hearsLeader reports whether a leader was heard too recently for anyone to be elected.
func (m *Machine) hearsLeader(now time.Time) bool {
	if m.role == Leader {
		return m.mayLead(now)
	}
	return now.Sub(m.heardAt) < m.timing.Election
}

func (m *Machine) refreshMembers() {
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
	return m.base
}

// LogSize returns how many entries are held behind the snapshot.
func (m *Machine) LogSize() int { return len(m.log.entries) }

// LogBytes returns the size of what the entries behind the snapshot carry.
func (m *Machine) LogBytes() int { return m.log.size }

// InContact reports whether this instance leads with its lease, or has heard its leader within the election timeout.
func (m *Machine) InContact(now time.Time) bool {
	if m.role == Leader {
		return m.LeaseHolds(now)
	}
	return m.leader != "" && m.hearsLeader(now)
}
