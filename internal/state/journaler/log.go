package journaler

import "pimentogate.example/pimentogate/pkg/wire"

// Log holds the entries after the latest snapshot in memory.
type Log struct {
	snapshot *wire.JournalSnapshot
	entries  []*wire.JournalEntry
	// payloadBytes is the total payload size of the entries.
	payloadBytes int
}

// NewLog returns a log of the entries that follow the snapshot, which may be nil.
func NewLog(snapshot *wire.JournalSnapshot, entries []*wire.JournalEntry) *Log {
	if snapshot == nil {
		snapshot = &wire.JournalSnapshot{}
	}
	return &Log{
		snapshot:     snapshot,
		entries:      entries,
		payloadBytes: payloadSize(entries),
	}
}

func payloadSize(entries []*wire.JournalEntry) int {
	size := 0
	for _, entry := range entries {
		size += len(entry.GetPayload())
	}
	return size
}

// FirstIndex returns the index of the first entry after the snapshot.
func (l *Log) FirstIndex() uint64 {
	return l.snapshot.GetIndex() + 1
}

// LastIndex returns the index of the last entry, or that of the snapshot if the log is empty.
func (l *Log) LastIndex() uint64 {
	return l.snapshot.GetIndex() + uint64(len(l.entries))
}

// LastTerm returns the term of the last entry, or that of the snapshot if the log is empty.
func (l *Log) LastTerm() uint64 {
	term, _ := l.Term(l.LastIndex())
	return term
}

// Term returns the term of the entry at the index, and false if the log does not contain it.
func (l *Log) Term(index uint64) (uint64, bool) {
	if index == l.snapshot.GetIndex() {
		return l.snapshot.GetTerm(), true
	}
	if index < l.FirstIndex() || index > l.LastIndex() {
		return 0, false
	}
	return l.entries[index-l.FirstIndex()].GetTerm(), true
}

// Slice returns up to limit entries, starting at the index.
func (l *Log) Slice(from uint64, limit int) []*wire.JournalEntry {
	if from < l.FirstIndex() || from > l.LastIndex() {
		return nil
	}
	tail := l.entries[from-l.FirstIndex():]
	if len(tail) > limit {
		tail = tail[:limit]
	}
	return append([]*wire.JournalEntry(nil), tail...)
}

// Append adds entries at the end.
func (l *Log) Append(entries ...*wire.JournalEntry) {
	l.entries = append(l.entries, entries...)
	l.payloadBytes += payloadSize(entries)
}

// TruncateFrom removes the entry at the index and all later ones.
func (l *Log) TruncateFrom(index uint64) {
	if index < l.FirstIndex() || index > l.LastIndex() {
		return
	}
	kept := l.entries[:index-l.FirstIndex()]
	l.entries = append([]*wire.JournalEntry(nil), kept...)
	l.payloadBytes = payloadSize(l.entries)
}

// Compact replaces all entries up to the snapshot's index. Later entries are kept only if the entry at that index has the snapshot's term.
func (l *Log) Compact(snapshot *wire.JournalSnapshot) {
	if snapshot.GetIndex() <= l.snapshot.GetIndex() {
		return
	}
	term, ok := l.Term(snapshot.GetIndex())
	var tail []*wire.JournalEntry
	if ok && term == snapshot.GetTerm() {
		tail = l.Slice(snapshot.GetIndex()+1, len(l.entries))
	}
	l.snapshot = snapshot
	l.entries = tail
	l.payloadBytes = payloadSize(tail)
}
