package journaler

import (
	"time"

	"pimentogate.example/pimentogate/pkg/wire"
)

// maxSaveWaits is how many election timeouts a leader remains leader while its disk takes one write. After that another instance with a working disk has to lead.
const maxSaveWaits = 2

// savedState tracks what is durable. A write is known to be durable when the next actions are taken.
type savedState struct {
	index, term               uint64
	pendingIndex, pendingTerm uint64
	// waitingSince is when a leader first noticed that entries after index wait for the disk; zero if none do.
	waitingSince time.Time
}

func (s *savedState) init(index, term uint64) {
	s.index, s.term = index, term
	s.pendingIndex, s.pendingTerm = index, term
}

// begin records that a write up to the index and the term has begun.
func (s *savedState) begin(index, term uint64) {
	s.pendingIndex, s.pendingTerm = index, term
}

// complete records that the write is durable.
func (s *savedState) complete() {
	if s.pendingIndex > s.index {
		s.waitingSince = time.Time{}
	}
	s.index, s.term = s.pendingIndex, s.pendingTerm
}

// truncateFrom forgets the entries from the index on.
func (s *savedState) truncateFrom(index uint64) {
	last := max(index, 1) - 1
	s.index = min(s.index, last)
	s.pendingIndex = min(s.pendingIndex, last)
}

// isWaiting reports whether entries up to the last index wait for the disk, for no longer than the limit.
func (s *savedState) isWaiting(now time.Time, lastIndex uint64, limit time.Duration) bool {
	if lastIndex <= s.index {
		s.waitingSince = time.Time{}
		return false
	}
	if s.waitingSince.IsZero() {
		s.waitingSince = now
	}
	return now.Sub(s.waitingSince) < limit
}

// sendEarlyHeartbeats sends appends without entries at what each peer has acknowledged already. They repeat what is known, so that neither side has to write before it sends them or replies.
func (m *Machine) sendEarlyHeartbeats(now time.Time) {
	m.startRound(now)
	for _, member := range m.members {
		if member.GetId() == m.ID() {
			continue
		}
		index := m.peer(member.GetId()).matchIndex
		term, ok := m.log.Term(index)
		if !ok {
			index, term = 0, 0
		}
		m.early = append(m.early, &wire.JournalMessage{
			From: m.ID(),
			To:   member.GetId(),
			Term: m.Term(),
			Body: &wire.JournalMessage_AppendAsk{
				AppendAsk: &wire.AppendAsk{
					PrevIndex: index,
					PrevTerm:  term,
					Commit:    m.commitIndex,
					Round:     m.round,
				},
			},
		})
	}
}
