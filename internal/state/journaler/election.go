package journaler

import (
	"time"

	"pimentogate.example/pimentogate/pkg/wire"
)

func (m *Machine) startPreVote(now time.Time) {
	m.role = PreCandidate
	m.leader = ""
	m.votes = map[string]bool{m.ID(): true}
	m.resetElection(now)
	m.askVotes(m.Term()+1, true)
	m.countVotes(now)
}

func (m *Machine) startElection(now time.Time) {
	m.role = Candidate
	m.hard.Term++
	m.hard.Vote = m.ID()
	m.saveHard()
	m.votes = map[string]bool{m.ID(): true}
	m.resetElection(now)
	m.askVotes(m.Term(), false)
	m.countVotes(now)
}

func (m *Machine) askVotes(term uint64, pre bool) {
	for _, member := range m.members {
		if member.GetLearner() || member.GetId() == m.ID() {
			continue
		}
		m.send(&wire.JournalMessage{
			To:   member.GetId(),
			Term: term,
			Body: &wire.JournalMessage_VoteAsk{
				VoteAsk: &wire.VoteAsk{
					Pre:       pre,
					LastIndex: m.log.LastIndex(),
					LastTerm:  m.log.LastTerm(),
				},
			},
		})
	}
}

func (m *Machine) stepVoteAsk(now time.Time, msg *wire.JournalMessage, ask *wire.VoteAsk) {
	granted := m.mayVote(msg, ask)
	term := msg.GetTerm()
	if !granted {
		term = m.Term()
	}
	if granted && !ask.GetPre() {
		m.hard.Vote = msg.GetFrom()
		m.saveHard()
		m.resetElection(now)
	}
	m.send(&wire.JournalMessage{
		To:   msg.GetFrom(),
		Term: term,
		Body: &wire.JournalMessage_VoteReply{
			VoteReply: &wire.VoteReply{
				Pre:     ask.GetPre(),
				Granted: granted,
			},
		},
	})
}

func (m *Machine) mayVote(msg *wire.JournalMessage, ask *wire.VoteAsk) bool {
	if !m.members.IsVoter(m.ID()) || !m.isCurrent(ask) {
		return false
	}
	if ask.GetPre() {
		return msg.GetTerm() > m.Term()
	}
	return m.hard.GetVote() == "" || m.hard.GetVote() == msg.GetFrom()
}

// isCurrent reports whether the candidate's journal is at least as new as this one.
func (m *Machine) isCurrent(ask *wire.VoteAsk) bool {
	if ask.GetLastTerm() != m.log.LastTerm() {
		return ask.GetLastTerm() > m.log.LastTerm()
	}
	return ask.GetLastIndex() >= m.log.LastIndex()
}

func (m *Machine) stepVoteReply(now time.Time, msg *wire.JournalMessage, reply *wire.VoteReply) {
	wanted := Candidate
	term := m.Term()
	if reply.GetPre() {
		wanted = PreCandidate
		term++
	}
	if m.role != wanted || !reply.GetGranted() || msg.GetTerm() != term {
		return
	}
	m.votes[msg.GetFrom()] = true
	m.countVotes(now)
}

func (m *Machine) countVotes(now time.Time) {
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
	m.roundAt = map[uint64]time.Time{}
	m.leadsSince = now
	m.leadsFrom = m.appendOwn(wire.EntryKind_ENTRY_KIND_LEADER, nil)
	m.sendAppends(now)
	m.advanceCommit()
}
