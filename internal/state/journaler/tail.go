package journaler

import "pimentogate.example/pimentogate/pkg/wire"

// Tail returns the stored entries that follow the snapshot. It returns none if the stored entry at the snapshot's index has another term, because the later ones then belong to a history that the snapshot has replaced.
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
