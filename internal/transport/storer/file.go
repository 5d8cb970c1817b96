package storer

import (
	"fmt"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/internal/state/journaler"
	"pimentogate.example/pimentogate/pkg/wire"
)

// journalContents is the decoded content of a journal file.
type journalContents struct {
	hardState *wire.HardState
	entries   []*wire.JournalEntry
	// commitIndex is the highest commit index recorded in any batch.
	commitIndex uint64
	// validSize is the offset in bytes of the end of the last complete frame.
	validSize int64
}

func readJournal(path string) (journalContents, error) {
	contents := journalContents{
		hardState: &wire.HardState{},
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return contents, fmt.Errorf("read journal: %w", err)
	}
	for int(contents.validSize) < len(raw) {
		payload, size, ok := decodeFrame(raw[contents.validSize:])
		if !ok {
			return contents, checkTornTail(raw, contents.validSize)
		}
		if err := contents.applyBatch(payload); err != nil {
			return contents, err
		}
		contents.validSize += int64(size)
	}
	return contents, nil
}

// checkTornTail returns a CorruptError if a valid frame follows the invalid one at the offset. Each batch is synced before the next one is written, so only the last frame can be torn by a crash.
func checkTornTail(raw []byte, offset int64) error {
	for i := int(offset) + 1; i < len(raw); i++ {
		if _, _, ok := decodeFrame(raw[i:]); ok {
			return &CorruptError{
				File:   journalName,
				Offset: offset,
			}
		}
	}
	return nil
}

func (c *journalContents) applyBatch(payload []byte) error {
	batch := &wire.JournalBatch{}
	if err := proto.Unmarshal(payload, batch); err != nil {
		return c.corruptError()
	}
	c.commitIndex = max(c.commitIndex, batch.GetCommitted())
	for _, record := range batch.GetRecords() {
		if err := c.applyRecord(record); err != nil {
			return err
		}
	}
	return nil
}

func (c *journalContents) applyRecord(record *wire.JournalRecord) error {
	switch body := record.GetRecord().(type) {
	case *wire.JournalRecord_Hard:
		c.hardState = body.Hard
	case *wire.JournalRecord_TruncateFrom:
		c.entries = entriesBefore(c.entries, body.TruncateFrom)
	case *wire.JournalRecord_Entry:
		if last := len(c.entries) - 1; last >= 0 && body.Entry.GetIndex() != c.entries[last].GetIndex()+1 {
			return c.corruptError()
		}
		c.entries = append(c.entries, body.Entry)
	}
	return nil
}

func (c *journalContents) corruptError() error {
	return &CorruptError{
		File:   journalName,
		Offset: c.validSize,
	}
}

// openJournal opens the journal for appending. It truncates a torn write, and rewrites the file if it still holds entries that a snapshot has replaced, as after a crash between the two writes.
func openJournal(folder string, contents journalContents, saved journaler.PersistentState) (*os.File, error) {
	if len(saved.Entries) != len(contents.entries) {
		if err := writeJournal(folder, saved.HardState, saved.Entries, saved.CommitIndex); err != nil {
			return nil, err
		}
		return openAppend(folder)
	}
	file, err := openAppend(folder)
	if err != nil {
		return nil, err
	}
	if err := file.Truncate(contents.validSize); err != nil {
		return nil, fmt.Errorf("truncate torn write: %w", err)
	}
	if err := file.Sync(); err != nil {
		return nil, fmt.Errorf("sync journal: %w", err)
	}
	// The process may have crashed after renaming a file and before syncing the folder.
	if err := syncFolder(folder); err != nil {
		return nil, err
	}
	return file, nil
}

func openAppend(folder string) (*os.File, error) {
	file, err := os.OpenFile(filepath.Join(folder, journalName), os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open journal: %w", err)
	}
	return file, nil
}

// replaceFile atomically and durably replaces the named file's content.
func replaceFile(folder, name string, content []byte) error {
	tempName := name + ".next"
	if err := writeSynced(filepath.Join(folder, tempName), content); err != nil {
		return err
	}
	return renameDurably(folder, tempName, name)
}

// renameDurably renames an already synced file and syncs the folder.
func renameDurably(folder, tempName, name string) error {
	if err := os.Rename(filepath.Join(folder, tempName), filepath.Join(folder, name)); err != nil {
		return fmt.Errorf("replace %s: %w", name, err)
	}
	return syncFolder(folder)
}

// writeSynced writes and syncs a file, and removes it if that fails, since a disk that is full needs the room.
func writeSynced(path string, content []byte) error {
	err := writeAndSync(path, content)
	if err != nil {
		_ = os.Remove(path)
	}
	return err
}

func writeAndSync(path string, content []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("create %s: %w", filepath.Base(path), err)
	}
	defer file.Close()
	if _, err := file.Write(content); err != nil {
		return fmt.Errorf("write %s: %w", filepath.Base(path), err)
	}
	if err := file.Sync(); err != nil {
		return fmt.Errorf("sync %s: %w", filepath.Base(path), err)
	}
	return nil
}

func syncFolder(folder string) error {
	dir, err := os.Open(folder)
	if err != nil {
		return fmt.Errorf("open data folder: %w", err)
	}
	defer dir.Close()
	if err := dir.Sync(); err != nil {
		return fmt.Errorf("sync data folder: %w", err)
	}
	return nil
}
