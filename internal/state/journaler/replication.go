package journaler

import (
	"time"

	"pimentogate.example/pimentogate/pkg/wire"
)

func (m *Machine) peer(id string) *progress {
	known, ok := m.peers[id]
	if !ok {
		known = &progress{
			next: m.log.LastIndex() + 1,
		}
		m.peers[id] = known
	}
	return known
}

func (m *Machine) tickLeader(now time.Time) {
	if !m.mayLead(now) || m.isRemoved() {
		m.becomeFollower(now, m.Term(), "")
		return
	}
	if now.Sub(m.beatAt) >= m.timing.Heartbeat {
		m.sendAppends(now)
	}
}

// isRemoved reports whether a committed membership has taken this instance's vote away.
func (m *Machine) isRemoved() bool {
	return !m.members.IsVoter(m.ID()) && !m.changePending()
}

func (m *Machine) appendOwn(kind wire.EntryKind, payload []byte) uint64 {
	entry := &wire.JournalEntry{
		Index:   m.log.LastIndex() + 1,
		Term:    m.Term(),
		Kind:    kind,
		Payload: payload,
	}
	m.appendEntries(entry)
	return entry.GetIndex()
}

func (m *Machine) appendEntries(entries ...*wire.JournalEntry) {
	m.log.Append(entries...)
	m.actions.Entries = append(m.actions.Entries, entries...)
	for _, entry := range entries {
		if entry.GetKind() == wire.EntryKind_ENTRY_KIND_MEMBERS {
			m.refreshMembers()
		}
	}
}

func (m *Machine) sendAppends(now time.Time) {
	m.owesRound = false
	m.beatAt = now
	m.round++
	m.roundAt[m.round] = now
	delete(m.roundAt, m.round-maxRounds)
	for _, member := range m.members {
		if member.GetId() != m.ID() {
			m.sendAppend(now, member.GetId())
		}
	}
}

func (m *Machine) sendAppend(now time.Time, id string) {
	peer := m.peer(id)
	prev := peer.next - 1
	prevTerm, held := m.log.Term(prev)
	if !held && now.Sub(peer.snapshotAt) >= m.timing.Election {
		peer.snapshotAt = now
		m.sendSnapshot(id)
		return
	}
	if !held {
		// While a snapshot is on its way, an empty append at the journal's start keeps the contact.
		m.sendEntries(id, 0, 0, nil)
		return
	}
	entries := m.log.Slice(peer.next, maxBatch)
	m.sendEntries(id, prev, prevTerm, entries)
	// What is sent is taken as received; a refusal moves next back.
	peer.next += uint64(len(entries))
}

func (m *Machine) sendEntries(id string, prev, prevTerm uint64, entries []*wire.JournalEntry) {
	m.send(&wire.JournalMessage{
		To:   id,
		Term: m.Term(),
		Body: &wire.JournalMessage_AppendAsk{
			AppendAsk: &wire.AppendAsk{
				PrevIndex: prev,
				PrevTerm:  prevTerm,
				Commit:    m.commit,
				Round:     m.round,
				Entries:   entries,
			},
		},
	})
}

func (m *Machine) sendSnapshot(id string) {
	m.send(&wire.JournalMessage{
		To:   id,
		Term: m.Term(),
		Body: &wire.JournalMessage_SnapshotAsk{
			SnapshotAsk: &wire.SnapshotAsk{
				Snapshot: m.log.snapshot,
				Round:    m.round,
			},
		},
	})
}

func (m *Machine) stepAppendAsk(now time.Time, msg *wire.JournalMessage, ask *wire.AppendAsk) {
	m.becomeFollower(now, msg.GetTerm(), msg.GetFrom())
	m.heardAt = now
	term, held := m.log.Term(ask.GetPrevIndex())
	behindSnapshot := ask.GetPrevIndex() < m.log.FirstIndex()-1
	if !behindSnapshot && (!held || term != ask.GetPrevTerm()) {
		m.replyAppend(msg.GetFrom(), false, min(m.log.LastIndex(), ask.GetPrevIndex()-1), ask.GetRound())
		return
	}
	m.takeEntries(ask.GetEntries())
	last := ask.GetPrevIndex() + uint64(len(ask.GetEntries()))
	m.commitTo(min(ask.GetCommit(), last))
	m.replyAppend(msg.GetFrom(), true, last, ask.GetRound())
}

// takeEntries appends what is new, and drops its own tail only where terms differ.
func (m *Machine) takeEntries(entries []*wire.JournalEntry) {
	for i, entry := range entries {
		if entry.GetIndex() < m.log.FirstIndex() {
			continue
		}
		term, held := m.log.Term(entry.GetIndex())
		if held && term == entry.GetTerm() {
			continue
		}
		if held {
			m.truncate(entry.GetIndex())
		}
		m.appendEntries(entries[i:]...)
		return
	}
}

func (m *Machine) truncate(index uint64) {
	m.log.TruncateFrom(index)
	m.refreshMembers()
	kept := m.actions.Entries[:0]
	for _, entry := range m.actions.Entries {
		if entry.GetIndex() < index {
			kept = append(kept, entry)
		}
	}
	m.actions.Entries = kept
	if m.actions.TruncateFrom == 0 || index < m.actions.TruncateFrom {
		m.actions.TruncateFrom = index
	}
}

func (m *Machine) replyAppend(to string, matched bool, index, round uint64) {
	m.send(&wire.JournalMessage{
		To:   to,
		Term: m.Term(),
		Body: &wire.JournalMessage_AppendReply{
			AppendReply: &wire.AppendReply{
				Matched: matched,
				Index:   index,
				Round:   round,
			},
		},
	})
}

func (m *Machine) stepAppendReply(now time.Time, msg *wire.JournalMessage, reply *wire.AppendReply) {
	if m.role != Leader {
		return
	}
	peer := m.peer(msg.GetFrom())
	// The lease counts from when the round was sent, not from when its reply came.
	if sentAt, ok := m.roundAt[reply.GetRound()]; ok && sentAt.After(peer.heardAt) {
		peer.heardAt = sentAt
	}
	if !reply.GetMatched() {
		peer.next = min(reply.GetIndex()+1, peer.next)
		peer.next = max(peer.next, peer.match+1)
		m.sendAppend(now, msg.GetFrom())
		return
	}
	if reply.GetIndex() <= peer.match {
		return
	}
	peer.match = reply.GetIndex()
	peer.next = max(peer.next, peer.match+1)
	if m.advanceCommit() {
		m.oweRound(now)
		return
	}
	if peer.next <= m.log.LastIndex() {
		m.sendAppend(now, msg.GetFrom())
	}
}

// advanceCommit commits what a quorum holds of the current term, and reports whether it moved.
func (m *Machine) advanceCommit() bool {
	if m.role != Leader {
		return false
	}
	moved := false
	for index := m.commit + 1; index <= m.log.LastIndex(); index++ {
		held := m.members.HasQuorum(func(id string) bool {
			return id == m.ID() || m.peer(id).match >= index
		})
		if !held {
			break
		}
		if term, _ := m.log.Term(index); term == m.Term() {
			m.commitTo(index)
			moved = true
		}
	}
	return moved
}

func (m *Machine) commitTo(index uint64) {
	m.commit = max(m.commit, min(index, m.log.LastIndex()))
	if m.commit <= m.delivered {
		return
	}
	ready := m.log.Slice(m.delivered+1, int(m.commit-m.delivered))
	m.actions.Committed = append(m.actions.Committed, ready...)
	m.delivered = m.commit
}

func (m *Machine) stepSnapshotAsk(now time.Time, msg *wire.JournalMessage, ask *wire.SnapshotAsk) {
	m.becomeFollower(now, msg.GetTerm(), msg.GetFrom())
	m.heardAt = now
	snapshot := ask.GetSnapshot()
	if snapshot.GetIndex() > m.commit {
		m.install(snapshot)
	}
	m.replyAppend(msg.GetFrom(), true, snapshot.GetIndex(), ask.GetRound())
}

// install puts the leader's snapshot in the place of everything up to its index, and of what does not continue it.
func (m *Machine) install(snapshot *wire.JournalSnapshot) {
	term, held := m.log.Term(snapshot.GetIndex())
	if !held || term != snapshot.GetTerm() {
		m.truncate(snapshot.GetIndex() + 1)
	}
	m.log.Compact(snapshot)
	m.base = snapshot.GetMembers().GetMembers()
	m.refreshMembers()
	m.commit = snapshot.GetIndex()
	m.delivered = m.commit
	m.actions.Snapshot = snapshot
	m.actions.Committed = nil
}
