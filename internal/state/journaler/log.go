package journaler

import "pimentogate.example/pimentogate/pkg/wire"

// Log is the journal's entries after its snapshot, in memory.
type Log struct {
	snapshot *wire.JournalSnapshot
	entries  []*wire.JournalEntry
	// size is what the entries carry, in bytes.
	size int
}

// NewLog returns a log that starts after the snapshot, which may be nil.
func NewLog(snapshot *wire.JournalSnapshot, entries []*wire.JournalEntry) *Log {
	if snapshot == nil {
		snapshot = &wire.JournalSnapshot{}
	}
	return &Log{
		snapshot: snapshot,
		entries:  entries,
		size:     sizeOf(entries),
	}
}

func sizeOf(entries []*wire.JournalEntry) int {
	size := 0
	for _, entry := range entries {
		size += len(entry.GetPayload())
	}
	return size
}

// FirstIndex returns the lowest index whose entry is held.
func (l *Log) FirstIndex() uint64 {
	return l.snapshot.GetIndex() + 1
}

// LastIndex returns the highest index, that of the snapshot for an empty log.
func (l *Log) LastIndex() uint64 {
	return l.snapshot.GetIndex() + uint64(len(l.entries))
}

// LastTerm returns the term of the entry at the last index.
func (l *Log) LastTerm() uint64 {
	term, _ := l.Term(l.LastIndex())
	return term
}

// Term returns the term of the entry at the index, and false where it is not held.
func (l *Log) Term(index uint64) (uint64, bool) {
	if index == l.snapshot.GetIndex() {
		return l.snapshot.GetTerm(), true
	}
	if index < l.FirstIndex() || index > l.LastIndex() {
		return 0, false
	}
	return l.entries[index-l.FirstIndex()].GetTerm(), true
}

// Slice returns up to limit entries from the index on.
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

// Append adds entries behind the last one.
func (l *Log) Append(entries ...*wire.JournalEntry) {
	l.entries = append(l.entries, entries...)
	l.size += sizeOf(entries)
}

// TruncateFrom drops the entry at the index and all after it.
func (l *Log) TruncateFrom(index uint64) {
	if index < l.FirstIndex() || index > l.LastIndex() {
		return
	}
	kept := l.entries[:index-l.FirstIndex()]
	l.entries = append([]*wire.JournalEntry(nil), kept...)
	l.size = sizeOf(l.entries)
}

// Compact replaces everything up to the snapshot's index by the snapshot.
func (l *Log) Compact(snapshot *wire.JournalSnapshot) {
	if snapshot.GetIndex() <= l.snapshot.GetIndex() {
		return
	}
	term, held := l.Term(snapshot.GetIndex())
	var tail []*wire.JournalEntry
	if held && term == snapshot.GetTerm() {
		tail = l.Slice(snapshot.GetIndex()+1, len(l.entries))
	}
	l.snapshot = snapshot
	l.entries = tail
	l.size = sizeOf(tail)
}
