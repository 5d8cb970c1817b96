package storer

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/state/applier"
	"pimentogate.example/pimentogate/internal/state/cataloger"
	"pimentogate.example/pimentogate/internal/state/journaler"
	"pimentogate.example/pimentogate/pkg/wire"

	"google.golang.org/protobuf/proto"
)

const (
	termBefore = 3
	entryCount = 6
)

// scanLimit is generous for a search that is linear, and out of reach for one that is not.
const scanLimit = 10 * time.Second

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func entry(index, term uint64) *wire.JournalEntry {
	return &wire.JournalEntry{
		Index:   index,
		Term:    term,
		Payload: fmt.Appendf(nil, "change %d", index),
	}
}

func actions(entries ...*wire.JournalEntry) journaler.Actions {
	return journaler.Actions{
		Entries: entries,
	}
}

// formed returns a data folder with the entries 1 to 6 of one term, each synced by itself.
func formed(t *testing.T) string {
	t.Helper()
	folder := filepath.Join(t.TempDir(), "data")
	check(t, Form(folder, "control-1", nil))
	s, _, err := Open(folder)
	check(t, err)
	check(t, s.Save(journaler.Actions{
		HardState: &wire.HardState{
			Id:   "control-1",
			Term: termBefore,
			Vote: "control-2",
		},
	}))
	for index := range uint64(entryCount) {
		check(t, s.Save(actions(entry(index+1, termBefore))))
	}
	check(t, s.Close())
	return folder
}

// reopen returns what the folder holds, and holds that it can be appended to.
func reopen(t *testing.T, folder string) journaler.PersistentState {
	t.Helper()
	s, saved, err := Open(folder)
	check(t, err)
	next := saved.Snapshot.GetIndex() + uint64(len(saved.Entries)) + 1
	check(t, s.Save(actions(entry(next, termBefore+1))))
	check(t, s.Close())
	s, again, err := Open(folder)
	check(t, err)
	check(t, s.Close())
	if got := len(again.Entries); got != len(saved.Entries)+1 {
		t.Fatalf("an append after the restart: %d entries, want %d", got, len(saved.Entries)+1)
	}
	return saved
}

// TestKeepsToItself holds that what was read belongs to whoever opened the journal: a save, which comes later than the change of its log, overwrites nothing there.
func TestKeepsToItself(t *testing.T) {
	const changed = termBefore + 1
	folder := formed(t)
	for count := range entryCount {
		s, saved, err := Open(folder)
		check(t, err)
		last := uint64(len(saved.Entries))
		log := saved.Entries
		log = append(log, entry(last+1, changed))
		check(t, s.Save(actions(entry(last+1, termBefore))))
		if got := log[last].GetTerm(); got != changed {
			t.Errorf("with %d entries: a save has put an entry of term %d in place of the log's own", entryCount+count, got)
		}
		check(t, s.Close())
	}
}

func TestTornTail(t *testing.T) {
	folder := formed(t)
	path := filepath.Join(folder, journalName)
	whole, err := os.ReadFile(path)
	check(t, err)
	s, _, err := Open(folder)
	check(t, err)
	check(t, s.Save(actions(entry(7, termBefore), entry(8, termBefore))))
	check(t, s.Close())
	written, err := os.ReadFile(path)
	check(t, err)
	fills := map[string]byte{
		"cut":    0,
		"zeros":  0,
		"rubble": 0xA5,
	}
	for name, fill := range fills {
		for size := len(whole); size < len(written); size++ {
			torn := append([]byte(nil), written[:size]...)
			if name != "cut" {
				for len(torn) < len(written) {
					torn = append(torn, fill)
				}
			}
			check(t, os.WriteFile(path, torn, fileMode))
			saved := reopen(t, folder)
			if len(saved.Entries) != entryCount || saved.HardState.GetTerm() != termBefore || saved.HardState.GetVote() != "control-2" {
				t.Fatalf("%s after byte %d: %d entries, hard state %v", name, size, len(saved.Entries), saved.HardState)
			}
		}
	}
}

func TestCorruptMiddle(t *testing.T) {
	folder := formed(t)
	path := filepath.Join(folder, journalName)
	whole, err := os.ReadFile(path)
	check(t, err)
	s, _, err := Open(folder)
	check(t, err)
	check(t, s.Save(actions(entry(7, termBefore))))
	check(t, s.Close())
	written, err := os.ReadFile(path)
	check(t, err)
	for place := range whole {
		damaged := append([]byte(nil), written...)
		damaged[place] ^= 0x40
		check(t, os.WriteFile(path, damaged, fileMode))
		_, _, err := Open(folder)
		var corrupt *CorruptError
		if !errors.As(err, &corrupt) {
			t.Fatalf("byte %d of %d: error %v, want a CorruptError", place, len(whole), err)
		}
	}
}

func TestCorruptSnapshot(t *testing.T) {
	folder := formed(t)
	path := filepath.Join(folder, snapshotName)
	check(t, os.WriteFile(path, []byte("damaged"), fileMode))
	_, _, err := Open(folder)
	var corrupt *CorruptError
	if !errors.As(err, &corrupt) || corrupt.File != snapshotName {
		t.Errorf("error %v, want a CorruptError of the snapshot", err)
	}
}

// TestKillDuringSnapshot stops the replacement at each of its steps.
func TestKillDuringSnapshot(t *testing.T) {
	own := &wire.JournalSnapshot{
		Index: 4,
		Term:  termBefore,
		State: []byte("state"),
	}
	other := &wire.JournalSnapshot{
		Index: 4,
		Term:  termBefore + 1,
		State: []byte("state"),
	}
	cases := []struct {
		name     string
		snapshot *wire.JournalSnapshot
		stop     func(folder string, s *wire.JournalSnapshot) error
		index    uint64
		entries  int
	}{
		{"before", own, func(string, *wire.JournalSnapshot) error { return nil }, 0, entryCount},
		{"half written", own, func(folder string, _ *wire.JournalSnapshot) error {
			return os.WriteFile(filepath.Join(folder, snapshotName+".next"), []byte("half"), fileMode)
		}, 0, entryCount},
		{"prepared, not in place", own, Prepare, 0, entryCount},
		{"own snapshot in place, journal not", own, writeSnapshot, 4, 2},
		{"leader's snapshot in place, journal of another history not", other, writeSnapshot, 4, 0},
		{"journal half written", own, func(folder string, s *wire.JournalSnapshot) error {
			return errors.Join(writeSnapshot(folder, s), os.WriteFile(filepath.Join(folder, journalName+".next"), []byte("half"), fileMode))
		}, 4, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			folder := formed(t)
			check(t, c.stop(folder, c.snapshot))
			saved := reopen(t, folder)
			if saved.Snapshot.GetIndex() != c.index || len(saved.Entries) != c.entries {
				t.Errorf("snapshot %d and %d entries, want %d and %d", saved.Snapshot.GetIndex(), len(saved.Entries), c.index, c.entries)
			}
			if saved.HardState.GetTerm() != termBefore {
				t.Errorf("term %d, want %d", saved.HardState.GetTerm(), termBefore)
			}
		})
	}
}

// TestInstalledSnapshot holds that a tail which the leader's snapshot replaced never comes back.
func TestInstalledSnapshot(t *testing.T) {
	folder := formed(t)
	s, _, err := Open(folder)
	check(t, err)
	check(t, s.Save(journaler.Actions{
		TruncateFrom: 5,
		Snapshot: &wire.JournalSnapshot{
			Index: 4,
			Term:  termBefore + 1,
		},
		Entries: []*wire.JournalEntry{entry(5, termBefore+1)},
	}))
	check(t, s.Save(actions(entry(6, termBefore+1))))
	check(t, s.Close())
	saved := reopen(t, folder)
	if len(saved.Entries) != 2 || saved.Entries[0].GetTerm() != termBefore+1 || saved.Entries[1].GetIndex() != 6 {
		t.Errorf("entries %v, want 5 and 6 of the leader's term", saved.Entries)
	}
}

func TestMissingSnapshot(t *testing.T) {
	folder := formed(t)
	s, _, err := Open(folder)
	check(t, err)
	check(t, s.Save(journaler.Actions{
		Snapshot: &wire.JournalSnapshot{
			Index: 4,
			Term:  termBefore,
		},
	}))
	check(t, s.Close())
	check(t, os.Remove(filepath.Join(folder, snapshotName)))
	_, _, err = Open(folder)
	var corrupt *CorruptError
	if !errors.As(err, &corrupt) {
		t.Errorf("error %v, want a CorruptError", err)
	}
}

// TestCommitIsKept holds that the highest index known to be committed comes back after a restart, also behind a rewritten journal.
func TestCommitIsKept(t *testing.T) {
	folder := formed(t)
	s, saved, err := Open(folder)
	check(t, err)
	if saved.CommitIndex != 0 {
		t.Errorf("commit %d of a new journal", saved.CommitIndex)
	}
	next := actions(entry(entryCount+1, termBefore))
	next.CommitIndex = 4
	check(t, s.Save(next))
	s.torn = true
	next = actions(entry(entryCount+2, termBefore))
	next.CommitIndex = 3
	check(t, s.Save(next))
	check(t, s.Close())
	if saved := reopen(t, folder); saved.CommitIndex != 4 {
		t.Errorf("commit %d, want 4", saved.CommitIndex)
	}
}

// TestFailedWriteIsRetried holds that a failed write is never taken for a success, and that the same actions, saved again, leave just what was saved, without what the failed write left behind.
func TestFailedWriteIsRetried(t *testing.T) {
	folder := formed(t)
	s, _, err := Open(folder)
	check(t, err)
	broken, err := os.Open(filepath.Join(folder, journalName))
	check(t, err)
	torn := []byte("half a frame")
	_, err = s.file.Write(torn)
	check(t, err)
	check(t, s.file.Close())
	s.file = broken
	next := actions(entry(entryCount+1, termBefore))
	if s.Save(next) == nil {
		t.Fatal("a failed write was taken for a success")
	}
	if saved := reopen(t, folder); len(saved.Entries) != entryCount {
		t.Errorf("%d entries after the failed write, want %d", len(saved.Entries), entryCount)
	}
	if err := s.Save(journaler.Actions{}); err != nil {
		t.Errorf("nothing to save: %v", err)
	}
	check(t, s.Save(next))
	check(t, s.Save(actions(entry(entryCount+2, termBefore))))
	check(t, s.Close())
	raw, err := os.ReadFile(filepath.Join(folder, journalName))
	check(t, err)
	if bytes.Contains(raw, torn) {
		t.Error("the failed write is still in the journal")
	}
	if saved := reopen(t, folder); len(saved.Entries) != entryCount+2 {
		t.Errorf("%d entries, want %d", len(saved.Entries), entryCount+2)
	}
}

// TestRestartAfterChanges confirms 500 changes, some of them refused, and holds that a restart knows which of them hold.
func TestRestartAfterChanges(t *testing.T) {
	const changes = 500
	folder := filepath.Join(t.TempDir(), "data")
	check(t, Form(folder, "control-1", nil))
	s, _, err := Open(folder)
	check(t, err)
	live := applier.New()
	for index := range uint64(changes) {
		e := confirmEntry(t, index+1, live.Catalog.Config().GetRevision(), index%7 == 0)
		check(t, s.Save(actions(e)))
		_, err := live.Apply(e)
		check(t, err)
		if index == changes/2 {
			encoded, err := live.Snapshot()
			check(t, err)
			check(t, s.Save(journaler.Actions{
				Snapshot: &wire.JournalSnapshot{
					Index: e.GetIndex(),
					State: encoded,
				},
			}))
		}
	}
	check(t, s.Close())
	s, saved, err := Open(folder)
	check(t, err)
	check(t, s.Close())
	back := applier.New()
	check(t, back.Restore(saved.Snapshot.GetState()))
	for _, e := range saved.Entries {
		_, err := back.Apply(e)
		check(t, err)
	}
	if !proto.Equal(back.Catalog.Config(), live.Catalog.Config()) {
		t.Errorf("after the restart revision %d, want %d", back.Catalog.Config().GetRevision(), live.Catalog.Config().GetRevision())
	}
	for i, known := range back.Catalog.ConfirmResults() {
		if !proto.Equal(known, live.Catalog.ConfirmResults()[i]) {
			t.Errorf("confirm %d: %v, want %v", i, known, live.Catalog.ConfirmResults()[i])
		}
	}
}

func confirmEntry(t *testing.T, index, revision uint64, late bool) *wire.JournalEntry {
	t.Helper()
	intent := &wire.Intent{
		Change: &wire.Intent_SetTenantLimit{
			SetTenantLimit: &wire.TenantLimit{
				Tenant:            fmt.Sprintf("tenant-%d", index%40),
				RequestsPerSecond: float64(index),
			},
		},
	}
	if late && revision > 0 {
		revision--
	}
	payload, err := proto.Marshal(&wire.Command{
		TimeMs: int64(index),
		Change: &wire.Command_Confirm{
			Confirm: &wire.ConfirmRequest{
				ConfirmId: fmt.Sprintf("confirm-%d", index),
				Intent:    intent,
				Revision:  revision,
				Digest:    cataloger.Digest(intent, revision),
			},
		},
	})
	check(t, err)
	return &wire.JournalEntry{
		Index:   index,
		Term:    1,
		Payload: payload,
	}
}

// TestLargeTornTail holds that a large torn write costs time in proportion to its size.
func TestLargeTornTail(t *testing.T) {
	const size = 16 << 20
	folder := formed(t)
	path := filepath.Join(folder, journalName)
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
	check(t, err)
	rubble := make([]byte, size)
	for i := range rubble {
		// Small numbers, so that many places look like the length of a short record.
		rubble[i] = byte(i % 4)
	}
	_, err = file.Write(rubble)
	check(t, errors.Join(err, file.Close()))
	started := time.Now()
	saved := reopen(t, folder)
	if took := time.Since(started); took > scanLimit || len(saved.Entries) != entryCount {
		t.Errorf("%d entries after %s, want %d within %s", len(saved.Entries), took, entryCount, scanLimit)
	}
}
