package journaler

import "pimentogate.example/pimentogate/pkg/wire"

// Tail returns the entries that continue the snapshot, and none where the entry at its index is of another term: those are of a history that the snapshot has replaced.
func Tail(snapshot *wire.JournalSnapshot, entries []*wire.JournalEntry) []*wire.JournalEntry {
	var kept []*wire.JournalEntry
	for _, entry := range entries {
		if entry.GetIndex() == snapshot.GetIndex() && entry.GetTerm() != snapshot.GetTerm() {
			return nil
		}
		if entry.GetIndex() > snapshot.GetIndex() {
			kept = append(kept, entry)
		}
	}
	return kept
}
