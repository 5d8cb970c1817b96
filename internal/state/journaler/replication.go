package journaler

import (
	"time"

	"pimentogate.example/pimentogate/pkg/wire"
)

func (m *Machine) peer(id string) *progress {
	peer, ok := m.peers[id]
	if !ok {
		peer = &progress{
			nextIndex: m.log.LastIndex() + 1,
		}
		m.peers[id] = peer
	}
	return peer
}

func (m *Machine) tickLeader(now time.Time) {
	if !m.canRemainLeader(now) || m.isRemoved() {
		m.becomeFollower(now, m.Term(), "")
		return
	}
	if now.Sub(m.lastRoundAt) >= m.timing.HeartbeatInterval {
		m.sendRound(now)
	}
	m.removeSilentVoter(now)
}

// isRemoved reports whether a committed membership has removed this instance as a voter.
func (m *Machine) isRemoved() bool {
	return !m.members.IsVoter(m.ID()) && !m.hasPendingChange()
}

func (m *Machine) appendNewEntry(kind wire.EntryKind, payload []byte) uint64 {
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
			m.updateMembers()
		}
	}
}

// sendRound sends an append round or, while entries wait for the disk, one of early heartbeats.
func (m *Machine) sendRound(now time.Time) {
	if m.saved.isWaiting(now, m.log.LastIndex(), maxSaveWaits*m.timing.ElectionTimeout) {
		m.sendEarlyHeartbeats(now)
		return
	}
	m.sendAppends(now)
}

// startRound begins an append round, whose replies extend the lease.
func (m *Machine) startRound(now time.Time) {
	m.lastRoundAt = now
	m.round++
	m.roundSentAt[m.round] = now
	delete(m.roundSentAt, m.round-maxTrackedRounds)
}

func (m *Machine) sendAppends(now time.Time) {
	m.roundPending = false
	m.startRound(now)
	for _, member := range m.members {
		if member.GetId() != m.ID() {
			m.sendAppend(now, member.GetId())
		}
	}
}

func (m *Machine) sendAppend(now time.Time, id string) {
	peer := m.peer(id)
	prevIndex := peer.nextIndex - 1
	prevTerm, ok := m.log.Term(prevIndex)
	if !ok && now.Sub(peer.snapshotSentAt) >= m.timing.ElectionTimeout {
		peer.snapshotSentAt = now
		m.sendSnapshot(id)
		return
	}
	if !ok {
		// While a snapshot is in flight, an empty append at index 0 serves as the heartbeat.
		m.sendEntries(id, 0, 0, nil)
		return
	}
	entries := m.log.Slice(peer.nextIndex, maxEntriesPerAppend)
	m.sendEntries(id, prevIndex, prevTerm, entries)
	// Assume that the entries arrive; a rejection moves nextIndex back.
	peer.nextIndex += uint64(len(entries))
}

func (m *Machine) sendEntries(id string, prevIndex, prevTerm uint64, entries []*wire.JournalEntry) {
	m.send(&wire.JournalMessage{
		To:   id,
		Term: m.Term(),
		Body: &wire.JournalMessage_AppendAsk{
			AppendAsk: &wire.AppendAsk{
				PrevIndex: prevIndex,
				PrevTerm:  prevTerm,
				Commit:    m.commitIndex,
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

func (m *Machine) handleAppendRequest(now time.Time, msg *wire.JournalMessage, request *wire.AppendAsk) {
	m.becomeFollower(now, msg.GetTerm(), msg.GetFrom())
	m.leaderContactAt = now
	m.lag.announce(request.GetCommit())
	term, ok := m.log.Term(request.GetPrevIndex())
	behindSnapshot := request.GetPrevIndex() < m.log.FirstIndex()-1
	if !behindSnapshot && (!ok || term != request.GetPrevTerm()) {
		m.sendAppendReply(msg.GetFrom(), false, min(m.log.LastIndex(), request.GetPrevIndex()-1), request.GetRound())
		return
	}
	m.mergeEntries(request.GetEntries())
	lastIndex := request.GetPrevIndex() + uint64(len(request.GetEntries()))
	m.commitTo(min(request.GetCommit(), lastIndex))
	if len(request.GetEntries()) == 0 && m.saved.term == m.Term() {
		// The reply to the entries themselves follows once they are durable.
		m.early = append(m.early, m.newAppendReply(msg.GetFrom(), true, min(lastIndex, m.saved.index), request.GetRound()))
		return
	}
	m.sendAppendReply(msg.GetFrom(), true, lastIndex, request.GetRound())
}

// mergeEntries appends the entries that the log lacks, and truncates the log only at an entry of another term.
func (m *Machine) mergeEntries(entries []*wire.JournalEntry) {
	for i, entry := range entries {
		if entry.GetIndex() < m.log.FirstIndex() {
			continue
		}
		term, ok := m.log.Term(entry.GetIndex())
		if ok && term == entry.GetTerm() {
			continue
		}
		if ok {
			m.truncateFrom(entry.GetIndex())
		}
		m.appendEntries(entries[i:]...)
		return
	}
}

func (m *Machine) truncateFrom(index uint64) {
	m.log.TruncateFrom(index)
	m.saved.truncateFrom(index)
	m.updateMembers()
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

func (m *Machine) sendAppendReply(to string, matched bool, index, round uint64) {
	m.send(m.newAppendReply(to, matched, index, round))
}

func (m *Machine) newAppendReply(to string, matched bool, index, round uint64) *wire.JournalMessage {
	return &wire.JournalMessage{
		From: m.ID(),
		To:   to,
		Term: m.Term(),
		Body: &wire.JournalMessage_AppendReply{
			AppendReply: &wire.AppendReply{
				Matched: matched,
				Index:   index,
				Round:   round,
			},
		},
	}
}

func (m *Machine) handleAppendReply(now time.Time, msg *wire.JournalMessage, reply *wire.AppendReply) {
	if m.role != Leader {
		return
	}
	peer := m.peer(msg.GetFrom())
	// The lease counts from when the round was sent, not from when the reply arrived.
	if sentAt, ok := m.roundSentAt[reply.GetRound()]; ok && sentAt.After(peer.ackedRoundSentAt) {
		peer.ackedRoundSentAt = sentAt
	}
	if !reply.GetMatched() {
		peer.nextIndex = min(reply.GetIndex()+1, peer.nextIndex)
		peer.nextIndex = max(peer.nextIndex, peer.matchIndex+1)
		m.sendAppend(now, msg.GetFrom())
		return
	}
	if reply.GetIndex() <= peer.matchIndex {
		return
	}
	peer.matchIndex = reply.GetIndex()
	peer.nextIndex = max(peer.nextIndex, peer.matchIndex+1)
	if m.advanceCommit() {
		m.scheduleRound(now)
		return
	}
	if peer.nextIndex <= m.log.LastIndex() {
		m.sendAppend(now, msg.GetFrom())
	}
}

// advanceCommit commits up to the last entry of the current term that is replicated on a quorum, and reports whether the commit index advanced.
func (m *Machine) advanceCommit() bool {
	if m.role != Leader {
		return false
	}
	advanced := false
	for index := m.commitIndex + 1; index <= m.log.LastIndex(); index++ {
		replicated := m.members.HasQuorum(func(id string) bool {
			return id == m.ID() || m.peer(id).matchIndex >= index
		})
		if !replicated {
			break
		}
		if term, _ := m.log.Term(index); term == m.Term() {
			m.commitTo(index)
			advanced = true
		}
	}
	return advanced
}

func (m *Machine) commitTo(index uint64) {
	m.commitIndex = max(m.commitIndex, min(index, m.log.LastIndex()))
	if m.commitIndex <= m.deliveredIndex {
		return
	}
	committed := m.log.Slice(m.deliveredIndex+1, int(m.commitIndex-m.deliveredIndex))
	m.actions.CommittedEntries = append(m.actions.CommittedEntries, committed...)
	m.deliveredIndex = m.commitIndex
}

func (m *Machine) handleSnapshotRequest(now time.Time, msg *wire.JournalMessage, request *wire.SnapshotAsk) {
	m.becomeFollower(now, msg.GetTerm(), msg.GetFrom())
	m.leaderContactAt = now
	snapshot := request.GetSnapshot()
	m.lag.announce(snapshot.GetIndex())
	if snapshot.GetIndex() > m.commitIndex {
		m.installSnapshot(snapshot)
	}
	m.sendAppendReply(msg.GetFrom(), true, snapshot.GetIndex(), request.GetRound())
}

// installSnapshot replaces the log up to the snapshot's index with the leader's snapshot. Later entries are removed too unless the entry at that index has the snapshot's term.
func (m *Machine) installSnapshot(snapshot *wire.JournalSnapshot) {
	term, ok := m.log.Term(snapshot.GetIndex())
	if !ok || term != snapshot.GetTerm() {
		m.truncateFrom(snapshot.GetIndex() + 1)
	}
	m.log.Compact(snapshot)
	m.saved.truncateFrom(0)
	m.snapshotMembers = snapshot.GetMembers().GetMembers()
	m.updateMembers()
	m.commitIndex = snapshot.GetIndex()
	m.deliveredIndex = m.commitIndex
	m.actions.Snapshot = snapshot
	m.actions.CommittedEntries = nil
}
