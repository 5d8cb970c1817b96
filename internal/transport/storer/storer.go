package storer

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/internal/state/journaler"
	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	journalName  = "journal"
	snapshotName = "snapshot"
	preparedName = "snapshot.prepared"
	folderMode   = 0o750
	fileMode     = 0o640
)

// Storer is the open journal of one data folder.
type Storer struct {
	folder string
	file   *os.File
	hard   *wire.HardState
	// committed is the highest index that the file says is committed.
	committed uint64
	// entries are those in the file, kept to rewrite it behind a snapshot.
	entries []*wire.JournalEntry
	// torn is set after a failed write or sync: what the file holds behind its last good sync is not known, so the next Save writes all of it anew.
	torn bool
	// prepared is a snapshot that Prepare has written already.
	prepared *wire.JournalSnapshot
}

// ErrEmpty says that the data folder holds no journal.
var ErrEmpty = errors.New("the data folder holds no journal; see pimentogate form -h")

// Form writes the first journal of an instance into an empty data folder, with the first membership.
func Form(folder, id string, members []*wire.ControlMember) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return fmt.Errorf("data folder: %w", err)
	}
	if _, err := os.Stat(filepath.Join(folder, journalName)); err == nil {
		return fmt.Errorf("data folder %s holds a journal already", folder)
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

// FormBlank writes the journal of an instance that knows no membership yet, under an identity that it never had before.
func FormBlank(folder, id string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return fmt.Errorf("data folder: %w", err)
	}
	return writeJournal(folder, &wire.HardState{
		Id: id,
	}, nil, 0)
}

// Open reads what the data folder holds, cutting a torn tail, and returns it with the open journal; ErrEmpty where there is none.
func Open(folder string) (*Storer, journaler.PersistentState, error) {
	var saved journaler.PersistentState
	snapshot, err := readSnapshot(folder)
	if err != nil {
		return nil, saved, err
	}
	path := filepath.Join(folder, journalName)
	content, err := readJournal(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, saved, ErrEmpty
	}
	if err != nil {
		return nil, saved, err
	}
	saved = journaler.PersistentState{
		HardState:   content.hard,
		Snapshot:    snapshot,
		Entries:     journaler.Tail(snapshot, content.entries),
		CommitIndex: content.committed,
	}
	if err := checkSaved(saved); err != nil {
		return nil, saved, err
	}
	file, err := openJournal(folder, content, saved)
	if err != nil {
		return nil, saved, err
	}
	s := &Storer{
		folder: folder,
		file:   file,
		hard:   content.hard,
		// The log of whoever opened the journal goes on from the same entries, in another goroutine.
		entries:   slices.Clone(saved.Entries),
		committed: content.committed,
	}
	return s, saved, nil
}

// checkSaved holds that the journal names its instance and continues the snapshot.
func checkSaved(saved journaler.PersistentState) error {
	gap := len(saved.Entries) > 0 && saved.Entries[0].GetIndex() != saved.Snapshot.GetIndex()+1
	if saved.HardState.GetId() == "" || gap {
		return &CorruptError{
			File: journalName,
		}
	}
	return nil
}

// Save makes the actions durable. On an error nothing may be sent or applied, and the same actions are to be saved again, which writes the whole journal into a new file.
func (s *Storer) Save(actions journaler.Actions) error {
	if actions.Snapshot == nil && len(recordsOf(actions)) == 0 {
		return nil
	}
	hard, entries := s.following(actions)
	if err := s.save(actions, hard, entries); err != nil {
		s.torn = true
		return err
	}
	s.hard = hard
	s.entries = entries
	s.committed = max(s.committed, actions.CommitIndex)
	s.torn = false
	return nil
}

func (s *Storer) save(actions journaler.Actions, hard *wire.HardState, entries []*wire.JournalEntry) error {
	if actions.Snapshot != nil {
		if err := s.placeSnapshot(actions.Snapshot); err != nil {
			return err
		}
		return s.rewrite(hard, entries, actions.CommitIndex)
	}
	if s.torn {
		return s.rewrite(hard, entries, actions.CommitIndex)
	}
	frame, err := encodeFrame(&wire.JournalBatch{
		Records:   recordsOf(actions),
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

// following returns what the journal holds once the actions are saved.
func (s *Storer) following(actions journaler.Actions) (*wire.HardState, []*wire.JournalEntry) {
	hard := s.hard
	if actions.HardState != nil {
		hard = actions.HardState
	}
	entries := s.entries
	if actions.TruncateFrom > 0 {
		entries = before(entries, actions.TruncateFrom)
	}
	entries = append(entries, actions.Entries...)
	if actions.Snapshot != nil {
		entries = after(entries, actions.Snapshot.GetIndex())
	}
	return hard, entries
}

// rewrite puts a new file in the journal's place.
func (s *Storer) rewrite(hard *wire.HardState, entries []*wire.JournalEntry, committed uint64) error {
	if err := writeJournal(s.folder, hard, entries, max(s.committed, committed)); err != nil {
		return err
	}
	file, err := openAppend(s.folder)
	if err != nil {
		return err
	}
	// The old file has been replaced, so nothing depends on how its end goes.
	_ = s.file.Close()
	s.file = file
	return nil
}

func (s *Storer) placeSnapshot(snapshot *wire.JournalSnapshot) error {
	if s.prepared != snapshot {
		return writeSnapshot(s.folder, snapshot)
	}
	s.prepared = nil
	return putInPlace(s.folder, preparedName, snapshotName)
}

// TakePrepared says that the snapshot, which the next Save may hold, was written by Prepare.
func (s *Storer) TakePrepared(snapshot *wire.JournalSnapshot) {
	s.prepared = snapshot
}

// Prepare writes and syncs a snapshot beside the one in force, which stays as it is; it may run beside a Storer.
func Prepare(folder string, snapshot *wire.JournalSnapshot) error {
	frame, err := encodeFrame(snapshot)
	if err != nil {
		return err
	}
	return writeSynced(filepath.Join(folder, preparedName), frame)
}

func recordsOf(actions journaler.Actions) []*wire.JournalRecord {
	var records []*wire.JournalRecord
	if actions.HardState != nil {
		records = append(records, hardRecord(actions.HardState))
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

func hardRecord(hard *wire.HardState) *wire.JournalRecord {
	return &wire.JournalRecord{
		Record: &wire.JournalRecord_Hard{
			Hard: hard,
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

func writeJournal(folder string, hard *wire.HardState, entries []*wire.JournalEntry, committed uint64) error {
	records := []*wire.JournalRecord{hardRecord(hard)}
	for _, entry := range entries {
		records = append(records, entryRecord(entry))
	}
	frame, err := encodeFrame(&wire.JournalBatch{
		Records:   records,
		Committed: committed,
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
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return snapshot, nil
}

func after(entries []*wire.JournalEntry, index uint64) []*wire.JournalEntry {
	var kept []*wire.JournalEntry
	for _, entry := range entries {
		if entry.GetIndex() > index {
			kept = append(kept, entry)
		}
	}
	return kept
}

func before(entries []*wire.JournalEntry, index uint64) []*wire.JournalEntry {
	var kept []*wire.JournalEntry
	for _, entry := range entries {
		if entry.GetIndex() < index {
			kept = append(kept, entry)
		}
	}
	return kept
}
