package journaler

import "pimentogate.example/pimentogate/pkg/wire"

// Tail returns the entries that continue the snapshot.
func Tail(snapshot *wire.JournalSnapshot, entries []*wire.JournalEntry) []*wire.JournalEntry {
	var kept []*wire.JournalEntry
	for _, entry := range entries {
		if entry.GetIndex() > snapshot.GetIndex() {
			kept = append(kept, entry)
		}
	}
	return kept
}
