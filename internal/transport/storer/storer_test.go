package storer

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/state/applier"
	"pimentogate.example/pimentogate/internal/state/cataloger"
	"pimentogate.example/pimentogate/internal/state/journaler"
	"pimentogate.example/pimentogate/pkg/wire"

	"google.golang.org/protobuf/proto"
)

const (
	initialTerm = 3
	entryCount  = 6
)

// maxScanTime is ample for a scan in linear time and too short for one in quadratic time.
const maxScanTime = 10 * time.Second

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

// newDataFolder returns a data folder with the entries 1 to 6 of one term, each written by a separate Save.
func newDataFolder(t *testing.T) string {
	t.Helper()
	folder := filepath.Join(t.TempDir(), "data")
	check(t, Form(folder, "control-1", nil))
	s, _, err := Open(folder)
	check(t, err)
	check(t, s.Save(journaler.Actions{
		HardState: &wire.HardState{
			Id:   "control-1",
			Term: initialTerm,
			Vote: "control-2",
		},
	}))
	for index := range uint64(entryCount) {
		check(t, s.Save(actions(entry(index+1, initialTerm))))
	}
	check(t, s.Close())
	return folder
}

// reopen returns the state in the folder and checks that an entry can be appended to it.
func reopen(t *testing.T, folder string) journaler.PersistentState {
	t.Helper()
	s, saved, err := Open(folder)
	check(t, err)
	nextIndex := saved.Snapshot.GetIndex() + uint64(len(saved.Entries)) + 1
	check(t, s.Save(actions(entry(nextIndex, initialTerm+1))))
	check(t, s.Close())
	s, reopened, err := Open(folder)
	check(t, err)
	check(t, s.Close())
	if got := len(reopened.Entries); got != len(saved.Entries)+1 {
		t.Fatalf("after reopening and appending: %d entries, want %d", got, len(saved.Entries)+1)
	}
	return saved
}

// TestSaveLeavesReturnedEntries guards against a Storer that shares the array of the entries returned by Open:
// a Save after the caller has appended to them would overwrite the caller's entry.
func TestSaveLeavesReturnedEntries(t *testing.T) {
	const otherTerm = initialTerm + 1
	folder := newDataFolder(t)
	for count := range entryCount {
		s, saved, err := Open(folder)
		check(t, err)
		last := uint64(len(saved.Entries))
		ownLog := saved.Entries
		ownLog = append(ownLog, entry(last+1, otherTerm))
		check(t, s.Save(actions(entry(last+1, initialTerm))))
		if got := ownLog[last].GetTerm(); got != otherTerm {
			t.Errorf("with %d entries: Save has overwritten the caller's entry with one of term %d", entryCount+count, got)
		}
		check(t, s.Close())
	}
}

func TestTornTail(t *testing.T) {
	folder := newDataFolder(t)
	path := filepath.Join(folder, journalName)
	intact, err := os.ReadFile(path)
	check(t, err)
	s, _, err := Open(folder)
	check(t, err)
	check(t, s.Save(actions(entry(7, initialTerm), entry(8, initialTerm))))
	check(t, s.Close())
	written, err := os.ReadFile(path)
	check(t, err)
	fills := map[string]byte{
		"truncated": 0,
		"zeros":     0,
		"garbage":   0xA5,
	}
	for name, fill := range fills {
		for size := len(intact); size < len(written); size++ {
			torn := append([]byte(nil), written[:size]...)
			if name != "truncated" {
				for len(torn) < len(written) {
					torn = append(torn, fill)
				}
			}
			check(t, os.WriteFile(path, torn, fileMode))
			saved := reopen(t, folder)
			if len(saved.Entries) != entryCount || saved.HardState.GetTerm() != initialTerm || saved.HardState.GetVote() != "control-2" {
				t.Fatalf("%s after byte %d: %d entries, hard state %v", name, size, len(saved.Entries), saved.HardState)
			}
		}
	}
}

func TestCorruptMiddle(t *testing.T) {
	folder := newDataFolder(t)
	path := filepath.Join(folder, journalName)
	intact, err := os.ReadFile(path)
	check(t, err)
	s, _, err := Open(folder)
	check(t, err)
	check(t, s.Save(actions(entry(7, initialTerm))))
	check(t, s.Close())
	written, err := os.ReadFile(path)
	check(t, err)
	for offset := range intact {
		damaged := append([]byte(nil), written...)
		damaged[offset] ^= 0x40
		check(t, os.WriteFile(path, damaged, fileMode))
		_, _, err := Open(folder)
		var corrupt *CorruptError
		if !errors.As(err, &corrupt) {
			t.Fatalf("byte %d of %d: error %v, want a CorruptError", offset, len(intact), err)
		}
	}
}

func TestCorruptSnapshot(t *testing.T) {
	folder := newDataFolder(t)
	path := filepath.Join(folder, snapshotName)
	check(t, os.WriteFile(path, []byte("damaged"), fileMode))
	_, _, err := Open(folder)
	var corrupt *CorruptError
	if !errors.As(err, &corrupt) || corrupt.File != snapshotName {
		t.Errorf("error %v, want a CorruptError of the snapshot", err)
	}
}

// TestCrashDuringSnapshot simulates a crash after each step of replacing the snapshot and the journal.
func TestCrashDuringSnapshot(t *testing.T) {
	localSnapshot := &wire.JournalSnapshot{
		Index: 4,
		Term:  initialTerm,
		State: []byte("state"),
	}
	leaderSnapshot := &wire.JournalSnapshot{
		Index: 4,
		Term:  initialTerm + 1,
		State: []byte("state"),
	}
	cases := []struct {
		name     string
		snapshot *wire.JournalSnapshot
		prepare  func(folder string, s *wire.JournalSnapshot) error
		index    uint64
		entries  int
	}{
		{"no step", localSnapshot, func(string, *wire.JournalSnapshot) error { return nil }, 0, entryCount},
		{"snapshot partly written", localSnapshot, func(folder string, _ *wire.JournalSnapshot) error {
			return os.WriteFile(filepath.Join(folder, snapshotName+".next"), []byte("half"), fileMode)
		}, 0, entryCount},
		{"snapshot prepared, not renamed", localSnapshot, PrepareSnapshot, 0, entryCount},
		{"local snapshot replaced, journal not", localSnapshot, writeSnapshot, 4, 2},
		{"leader's snapshot replaced, journal with conflicting entries not", leaderSnapshot, writeSnapshot, 4, 0},
		{"snapshot replaced, journal partly written", localSnapshot, func(folder string, s *wire.JournalSnapshot) error {
			return errors.Join(writeSnapshot(folder, s), os.WriteFile(filepath.Join(folder, journalName+".next"), []byte("half"), fileMode))
		}, 4, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			folder := newDataFolder(t)
			check(t, c.prepare(folder, c.snapshot))
			saved := reopen(t, folder)
			if saved.Snapshot.GetIndex() != c.index || len(saved.Entries) != c.entries {
				t.Errorf("snapshot %d and %d entries, want %d and %d", saved.Snapshot.GetIndex(), len(saved.Entries), c.index, c.entries)
			}
			if saved.HardState.GetTerm() != initialTerm {
				t.Errorf("term %d, want %d", saved.HardState.GetTerm(), initialTerm)
			}
		})
	}
}

// TestInstalledSnapshot checks that entries replaced by the leader's snapshot don't reappear after a restart.
func TestInstalledSnapshot(t *testing.T) {
	folder := newDataFolder(t)
	s, _, err := Open(folder)
	check(t, err)
	check(t, s.Save(journaler.Actions{
		TruncateFrom: 5,
		Snapshot: &wire.JournalSnapshot{
			Index: 4,
			Term:  initialTerm + 1,
		},
		Entries: []*wire.JournalEntry{entry(5, initialTerm+1)},
	}))
	check(t, s.Save(actions(entry(6, initialTerm+1))))
	check(t, s.Close())
	saved := reopen(t, folder)
	if len(saved.Entries) != 2 || saved.Entries[0].GetTerm() != initialTerm+1 || saved.Entries[1].GetIndex() != 6 {
		t.Errorf("entries %v, want 5 and 6 of the leader's term", saved.Entries)
	}
}

func TestMissingSnapshot(t *testing.T) {
	folder := newDataFolder(t)
	s, _, err := Open(folder)
	check(t, err)
	check(t, s.Save(journaler.Actions{
		Snapshot: &wire.JournalSnapshot{
			Index: 4,
			Term:  initialTerm,
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

// TestCommitIndexSurvivesRestart checks that the highest commit index is restored on a restart, also from a rewritten journal.
func TestCommitIndexSurvivesRestart(t *testing.T) {
	folder := newDataFolder(t)
	s, saved, err := Open(folder)
	check(t, err)
	if saved.CommitIndex != 0 {
		t.Errorf("commit index %d in a new journal, want 0", saved.CommitIndex)
	}
	nextActions := actions(entry(entryCount+1, initialTerm))
	nextActions.CommitIndex = 4
	check(t, s.Save(nextActions))
	s.needsRewrite = true
	nextActions = actions(entry(entryCount+2, initialTerm))
	nextActions.CommitIndex = 3
	check(t, s.Save(nextActions))
	check(t, s.Close())
	if saved := reopen(t, folder); saved.CommitIndex != 4 {
		t.Errorf("commit index %d, want 4", saved.CommitIndex)
	}
}

// TestFailedWriteIsRetried checks that Save reports a failed write, and that saving the same actions again stores them without the bytes that the failed write left in the file.
func TestFailedWriteIsRetried(t *testing.T) {
	folder := newDataFolder(t)
	s, _, err := Open(folder)
	check(t, err)
	readOnly, err := os.Open(filepath.Join(folder, journalName))
	check(t, err)
	torn := []byte("half a frame")
	_, err = s.file.Write(torn)
	check(t, err)
	check(t, s.file.Close())
	s.file = readOnly
	nextActions := actions(entry(entryCount+1, initialTerm))
	if s.Save(nextActions) == nil {
		t.Fatal("Save returned no error after a failed write")
	}
	if saved := reopen(t, folder); len(saved.Entries) != entryCount {
		t.Errorf("%d entries after the failed write, want %d", len(saved.Entries), entryCount)
	}
	if err := s.Save(journaler.Actions{}); err != nil {
		t.Errorf("Save of empty actions: %v", err)
	}
	check(t, s.Save(nextActions))
	check(t, s.Save(actions(entry(entryCount+2, initialTerm))))
	check(t, s.Close())
	raw, err := os.ReadFile(filepath.Join(folder, journalName))
	check(t, err)
	if bytes.Contains(raw, torn) {
		t.Error("the journal still holds the bytes of the failed write")
	}
	if saved := reopen(t, folder); len(saved.Entries) != entryCount+2 {
		t.Errorf("%d entries, want %d", len(saved.Entries), entryCount+2)
	}
}

// TestRestartAfterChanges confirms 500 changes, some of them with a stale revision that is refused, and checks that a restart restores the same configuration and confirm results.
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
	restored := applier.New()
	check(t, restored.Restore(saved.Snapshot.GetState()))
	for _, e := range saved.Entries {
		_, err := restored.Apply(e)
		check(t, err)
	}
	if !proto.Equal(restored.Catalog.Config(), live.Catalog.Config()) {
		t.Errorf("revision %d after the restart, want %d", restored.Catalog.Config().GetRevision(), live.Catalog.Config().GetRevision())
	}
	for i, confirm := range restored.Catalog.ConfirmResults() {
		if !proto.Equal(confirm, live.Catalog.ConfirmResults()[i]) {
			t.Errorf("confirm %d: %v, want %v", i, confirm, live.Catalog.ConfirmResults()[i])
		}
	}
}

func confirmEntry(t *testing.T, index, revision uint64, stale bool) *wire.JournalEntry {
	t.Helper()
	intent := &wire.Intent{
		Change: &wire.Intent_SetTenantLimit{
			SetTenantLimit: &wire.TenantLimit{
				Tenant:            fmt.Sprintf("tenant-%d", index%40),
				RequestsPerSecond: float64(index),
			},
		},
	}
	if stale && revision > 0 {
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

// TestLargeTornTail checks that opening a journal with a large torn write takes time linear in its size.
func TestLargeTornTail(t *testing.T) {
	const size = 16 << 20
	folder := newDataFolder(t)
	path := filepath.Join(folder, journalName)
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
	check(t, err)
	garbage := make([]byte, size)
	for i := range garbage {
		// Small byte values make many offsets look like the length of a short record.
		garbage[i] = byte(i % 4)
	}
	_, err = file.Write(garbage)
	check(t, errors.Join(err, file.Close()))
	started := time.Now()
	saved := reopen(t, folder)
	if elapsed := time.Since(started); elapsed > maxScanTime || len(saved.Entries) != entryCount {
		t.Errorf("%d entries after %s, want %d within %s", len(saved.Entries), elapsed, entryCount, maxScanTime)
	}
}

// TestFailedWriteLeavesNoFile guards against a file that was written in part, which keeps the room that a full disk needs to take anything again.
func TestFailedWriteLeavesNoFile(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, preparedSnapshotName)
	// Each write to this device fails as on a full disk.
	check(t, os.Symlink("/dev/full", path))
	err := PrepareSnapshot(folder, &wire.JournalSnapshot{
		State: []byte("state"),
	})
	if !errors.Is(err, syscall.ENOSPC) {
		t.Fatalf("got error %v, want a full disk", err)
	}
	if _, err := os.Lstat(path); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("the file is still there: %v", err)
	}
}
