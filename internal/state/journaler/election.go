package journaler

import (
	"maps"
	"slices"
	"time"

	"pimentogate.example/pimentogate/pkg/wire"
)

// LostElection describes an election or pre-vote that ended without a leader.
type LostElection struct {
	// Count numbers the lost elections of this instance since its start, from 1.
	Count uint64
	Term  uint64
	// IsPreVote is set if the pre-vote was lost already.
	IsPreVote bool
	// GrantedBy are the identities that granted their vote, sorted, this instance included.
	GrantedBy []string
	// Quorum is the number of votes needed.
	Quorum int
}

// LostElection returns the latest election that this instance has lost, or a zero value.
func (m *Machine) LostElection() LostElection { return m.lostElection }

// recordLostElection stores the votes of an election that has timed out.
func (m *Machine) recordLostElection() {
	if m.role != PreCandidate && m.role != Candidate {
		return
	}
	m.lostElection = LostElection{
		Count:     m.lostElection.Count + 1,
		Term:      m.Term(),
		IsPreVote: m.role == PreCandidate,
		GrantedBy: slices.Sorted(maps.Keys(m.votes)),
		Quorum:    m.members.QuorumSize(),
	}
}

func (m *Machine) startPreVote(now time.Time) {
	m.recordLostElection()
	m.role = PreCandidate
	m.leader = ""
	m.votes = map[string]bool{m.ID(): true}
	m.resetElectionTimeout(now)
	m.requestVotes(m.Term()+1, true)
	m.tallyVotes(now)
}

func (m *Machine) startElection(now time.Time) {
	m.role = Candidate
	m.hardState.Term++
	m.hardState.Vote = m.ID()
	m.saveHardState()
	m.votes = map[string]bool{m.ID(): true}
	m.resetElectionTimeout(now)
	m.requestVotes(m.Term(), false)
	m.tallyVotes(now)
}

func (m *Machine) requestVotes(term uint64, preVote bool) {
	for _, member := range m.members {
		if member.GetLearner() || member.GetId() == m.ID() {
			continue
		}
		m.send(&wire.JournalMessage{
			To:   member.GetId(),
			Term: term,
			Body: &wire.JournalMessage_VoteAsk{
				VoteAsk: &wire.VoteAsk{
					Pre:       preVote,
					LastIndex: m.log.LastIndex(),
					LastTerm:  m.log.LastTerm(),
				},
			},
		})
	}
}

func (m *Machine) handleVoteRequest(now time.Time, msg *wire.JournalMessage, request *wire.VoteAsk) {
	granted := m.canGrantVote(msg, request)
	term := msg.GetTerm()
	if !granted {
		term = m.Term()
	}
	if granted && !request.GetPre() {
		m.hardState.Vote = msg.GetFrom()
		m.saveHardState()
		m.resetElectionTimeout(now)
	}
	m.send(&wire.JournalMessage{
		To:   msg.GetFrom(),
		Term: term,
		Body: &wire.JournalMessage_VoteReply{
			VoteReply: &wire.VoteReply{
				Pre:     request.GetPre(),
				Granted: granted,
			},
		},
	})
}

func (m *Machine) canGrantVote(msg *wire.JournalMessage, request *wire.VoteAsk) bool {
	if !m.members.IsVoter(m.ID()) || !m.isUpToDate(request) {
		return false
	}
	if request.GetPre() {
		return msg.GetTerm() > m.Term()
	}
	return m.hardState.GetVote() == "" || m.hardState.GetVote() == msg.GetFrom()
}

// isUpToDate reports whether the candidate's log is at least as up to date as this instance's.
func (m *Machine) isUpToDate(request *wire.VoteAsk) bool {
	if request.GetLastTerm() != m.log.LastTerm() {
		return request.GetLastTerm() > m.log.LastTerm()
	}
	return request.GetLastIndex() >= m.log.LastIndex()
}

func (m *Machine) handleVoteReply(now time.Time, msg *wire.JournalMessage, reply *wire.VoteReply) {
	expectedRole := Candidate
	expectedTerm := m.Term()
	if reply.GetPre() {
		expectedRole = PreCandidate
		expectedTerm++
	}
	if m.role != expectedRole || !reply.GetGranted() || msg.GetTerm() != expectedTerm {
		return
	}
	m.votes[msg.GetFrom()] = true
	m.tallyVotes(now)
}

func (m *Machine) tallyVotes(now time.Time) {
	if !m.members.HasQuorum(func(id string) bool { return m.votes[id] }) {
		return
	}
	if m.role == PreCandidate {
		m.startElection(now)
		return
	}
	m.becomeLeader(now)
}

func (m *Machine) becomeLeader(now time.Time) {
	m.role = Leader
	m.leader = m.ID()
	m.peers = map[string]*progress{}
	m.roundSentAt = map[uint64]time.Time{}
	m.electedAt = now
	m.termStartIndex = m.appendNewEntry(wire.EntryKind_ENTRY_KIND_LEADER, nil)
	m.sendAppends(now)
	m.advanceCommit()
}
