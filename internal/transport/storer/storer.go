package storer

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/internal/state/journaler"
	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	journalName          = "journal"
	snapshotName         = "snapshot"
	preparedSnapshotName = "snapshot.prepared"
	folderMode           = 0o750
	fileMode             = 0o640
)

// Storer writes the journal and the snapshots of one data folder.
type Storer struct {
	folder    string
	file      *os.File
	hardState *wire.HardState
	// commitIndex is the highest commit index recorded in the file.
	commitIndex uint64
	// entries are the entries in the file, held in memory to rewrite the file after a snapshot.
	entries []*wire.JournalEntry
	// needsRewrite is set after a failed write or sync. The file's content after the last successful sync is then unknown, so the next Save rewrites the whole file.
	needsRewrite bool
	// preparedSnapshot is the snapshot that PrepareSnapshot has already written. It is set while a Save may be in progress.
	preparedSnapshot atomic.Pointer[wire.JournalSnapshot]
}

// ErrNoJournal is returned by Open if the data folder holds no journal.
var ErrNoJournal = errors.New("the data folder holds no journal; see pimentogate form -h")

// Form initialises an empty data folder with a snapshot of the initial membership and an empty journal. It fails if the folder already holds a journal.
func Form(folder, id string, members []*wire.ControlMember) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return fmt.Errorf("create data folder: %w", err)
	}
	if _, err := os.Stat(filepath.Join(folder, journalName)); err == nil {
		return fmt.Errorf("data folder %s already holds a journal", folder)
	}
	snapshot := &wire.JournalSnapshot{
		Members: &wire.MemberList{
			Members: members,
		},
	}
	if err := writeSnapshot(folder, snapshot); err != nil {
		return err
	}
	return writeJournal(folder, &wire.HardState{
		Id: id,
	}, nil, 0)
}

// FormWithoutMembers initialises the data folder of an instance that doesn't know the membership yet. The id must never have been used before.
func FormWithoutMembers(folder, id string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return fmt.Errorf("create data folder: %w", err)
	}
	return writeJournal(folder, &wire.HardState{
		Id: id,
	}, nil, 0)
}

// Open reads the snapshot and the journal, truncates a torn last write and opens the journal for appending. It returns ErrNoJournal if there is no journal.
func Open(folder string) (*Storer, journaler.PersistentState, error) {
	var saved journaler.PersistentState
	snapshot, err := readSnapshot(folder)
	if err != nil {
		return nil, saved, err
	}
	path := filepath.Join(folder, journalName)
	contents, err := readJournal(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, saved, ErrNoJournal
	}
	if err != nil {
		return nil, saved, err
	}
	saved = journaler.PersistentState{
		HardState:   contents.hardState,
		Snapshot:    snapshot,
		Entries:     journaler.Tail(snapshot, contents.entries),
		CommitIndex: contents.commitIndex,
	}
	if err := validateState(saved); err != nil {
		return nil, saved, err
	}
	file, err := openJournal(folder, contents, saved)
	if err != nil {
		return nil, saved, err
	}
	s := &Storer{
		folder:    folder,
		file:      file,
		hardState: contents.hardState,
		// The caller appends to the returned entries in another goroutine, so the slices must not share an array.
		entries:     slices.Clone(saved.Entries),
		commitIndex: contents.commitIndex,
	}
	return s, saved, nil
}

// validateState checks that the journal holds the instance's id and that its first entry directly follows the snapshot.
func validateState(saved journaler.PersistentState) error {
	hasGap := len(saved.Entries) > 0 && saved.Entries[0].GetIndex() != saved.Snapshot.GetIndex()+1
	if saved.HardState.GetId() == "" || hasGap {
		return &CorruptError{
			File: journalName,
		}
	}
	return nil
}

// Save writes and syncs the actions. If it fails, the caller must not send or apply anything and must save the same actions again; that retry rewrites the whole journal into a new file.
func (s *Storer) Save(actions journaler.Actions) error {
	if actions.Snapshot == nil && len(buildRecords(actions)) == 0 {
		return nil
	}
	hardState, entries := s.stateAfter(actions)
	if err := s.writeActions(actions, hardState, entries); err != nil {
		s.needsRewrite = true
		return err
	}
	s.hardState = hardState
	s.entries = entries
	s.commitIndex = max(s.commitIndex, actions.CommitIndex)
	s.needsRewrite = false
	return nil
}

func (s *Storer) writeActions(actions journaler.Actions, hardState *wire.HardState, entries []*wire.JournalEntry) error {
	if actions.Snapshot != nil {
		if err := s.installSnapshot(actions.Snapshot); err != nil {
			return err
		}
		return s.rewrite(hardState, entries, actions.CommitIndex)
	}
	if s.needsRewrite {
		return s.rewrite(hardState, entries, actions.CommitIndex)
	}
	frame, err := encodeFrame(&wire.JournalBatch{
		Records:   buildRecords(actions),
		Committed: actions.CommitIndex,
	})
	if err != nil {
		return err
	}
	if _, err := s.file.Write(frame); err != nil {
		return fmt.Errorf("write journal: %w", err)
	}
	if err := s.file.Sync(); err != nil {
		return fmt.Errorf("sync journal: %w", err)
	}
	return nil
}

// Close closes the journal's file.
func (s *Storer) Close() error {
	if err := s.file.Close(); err != nil {
		return fmt.Errorf("close journal: %w", err)
	}
	return nil
}

// stateAfter returns the hard state and the entries that the journal holds once the actions are saved.
func (s *Storer) stateAfter(actions journaler.Actions) (*wire.HardState, []*wire.JournalEntry) {
	hardState := s.hardState
	if actions.HardState != nil {
		hardState = actions.HardState
	}
	entries := s.entries
	if actions.TruncateFrom > 0 {
		entries = entriesBefore(entries, actions.TruncateFrom)
	}
	entries = append(entries, actions.Entries...)
	if actions.Snapshot != nil {
		entries = entriesAfter(entries, actions.Snapshot.GetIndex())
	}
	return hardState, entries
}

// rewrite replaces the journal with a new file that holds the given state, and appends to that file from then on.
func (s *Storer) rewrite(hardState *wire.HardState, entries []*wire.JournalEntry, commitIndex uint64) error {
	if err := writeJournal(s.folder, hardState, entries, max(s.commitIndex, commitIndex)); err != nil {
		return err
	}
	file, err := openAppend(s.folder)
	if err != nil {
		return err
	}
	// The old file has been replaced, so an error from closing it doesn't matter.
	_ = s.file.Close()
	s.file = file
	return nil
}

func (s *Storer) installSnapshot(snapshot *wire.JournalSnapshot) error {
	if !s.preparedSnapshot.CompareAndSwap(snapshot, nil) {
		return writeSnapshot(s.folder, snapshot)
	}
	return renameDurably(s.folder, preparedSnapshotName, snapshotName)
}

// UsePreparedSnapshot records that PrepareSnapshot has written the snapshot, so that a Save of the same snapshot renames that file instead of writing it again.
func (s *Storer) UsePreparedSnapshot(snapshot *wire.JournalSnapshot) {
	s.preparedSnapshot.Store(snapshot)
}

// PrepareSnapshot writes and syncs a snapshot under a temporary name and leaves the current snapshot unchanged. It may run concurrently with a Storer of the same folder.
func PrepareSnapshot(folder string, snapshot *wire.JournalSnapshot) error {
	frame, err := encodeFrame(snapshot)
	if err != nil {
		return err
	}
	return writeSynced(filepath.Join(folder, preparedSnapshotName), frame)
}

func buildRecords(actions journaler.Actions) []*wire.JournalRecord {
	var records []*wire.JournalRecord
	if actions.HardState != nil {
		records = append(records, hardStateRecord(actions.HardState))
	}
	if actions.TruncateFrom > 0 {
		records = append(records, &wire.JournalRecord{
			Record: &wire.JournalRecord_TruncateFrom{
				TruncateFrom: actions.TruncateFrom,
			},
		})
	}
	for _, entry := range actions.Entries {
		records = append(records, entryRecord(entry))
	}
	return records
}

func hardStateRecord(hardState *wire.HardState) *wire.JournalRecord {
	return &wire.JournalRecord{
		Record: &wire.JournalRecord_Hard{
			Hard: hardState,
		},
	}
}

func entryRecord(entry *wire.JournalEntry) *wire.JournalRecord {
	return &wire.JournalRecord{
		Record: &wire.JournalRecord_Entry{
			Entry: entry,
		},
	}
}

func writeJournal(folder string, hardState *wire.HardState, entries []*wire.JournalEntry, commitIndex uint64) error {
	records := []*wire.JournalRecord{hardStateRecord(hardState)}
	for _, entry := range entries {
		records = append(records, entryRecord(entry))
	}
	frame, err := encodeFrame(&wire.JournalBatch{
		Records:   records,
		Committed: commitIndex,
	})
	if err != nil {
		return err
	}
	return replaceFile(folder, journalName, frame)
}

func writeSnapshot(folder string, snapshot *wire.JournalSnapshot) error {
	frame, err := encodeFrame(snapshot)
	if err != nil {
		return err
	}
	return replaceFile(folder, snapshotName, frame)
}

func readSnapshot(folder string) (*wire.JournalSnapshot, error) {
	snapshot := &wire.JournalSnapshot{}
	content, err := os.ReadFile(filepath.Join(folder, snapshotName))
	if errors.Is(err, fs.ErrNotExist) {
		return snapshot, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read snapshot: %w", err)
	}
	payload, _, ok := decodeFrame(content)
	if !ok {
		return nil, &CorruptError{
			File: snapshotName,
		}
	}
	if err := proto.Unmarshal(payload, snapshot); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	return snapshot, nil
}

func entriesAfter(entries []*wire.JournalEntry, index uint64) []*wire.JournalEntry {
	var remaining []*wire.JournalEntry
	for _, entry := range entries {
		if entry.GetIndex() > index {
			remaining = append(remaining, entry)
		}
	}
	return remaining
}

func entriesBefore(entries []*wire.JournalEntry, index uint64) []*wire.JournalEntry {
	var remaining []*wire.JournalEntry
	for _, entry := range entries {
		if entry.GetIndex() < index {
			remaining = append(remaining, entry)
		}
	}
	return remaining
}
