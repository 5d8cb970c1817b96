package storer

import (
	"fmt"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/internal/state/journaler"
	"pimentogate.example/pimentogate/pkg/wire"
)

// contents is what a journal's file holds.
type contents struct {
	hard    *wire.HardState
	entries []*wire.JournalEntry
	// committed is the highest index that a batch says is committed.
	committed uint64
	// end is where the last whole record ends, in bytes.
	end int64
}

func readJournal(path string) (contents, error) {
	found := contents{
		hard: &wire.HardState{},
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return found, fmt.Errorf("read journal: %w", err)
	}
	for int(found.end) < len(raw) {
		payload, size, ok := decodeFrame(raw[found.end:])
		if !ok {
			return found, checkTail(raw, found.end)
		}
		if err := found.take(payload); err != nil {
			return found, err
		}
		found.end += int64(size)
	}
	return found, nil
}

// checkTail tells a torn write, which can only be the last one, from damage in the middle: each batch was synced before the next was written.
func checkTail(raw []byte, offset int64) error {
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

func (c *contents) take(payload []byte) error {
	batch := &wire.JournalBatch{}
	if err := proto.Unmarshal(payload, batch); err != nil {
		return c.corrupt()
	}
	c.committed = max(c.committed, batch.GetCommitted())
	for _, record := range batch.GetRecords() {
		if err := c.takeRecord(record); err != nil {
			return err
		}
	}
	return nil
}

func (c *contents) takeRecord(record *wire.JournalRecord) error {
	switch body := record.GetRecord().(type) {
	case *wire.JournalRecord_Hard:
		c.hard = body.Hard
	case *wire.JournalRecord_TruncateFrom:
		c.entries = before(c.entries, body.TruncateFrom)
	case *wire.JournalRecord_Entry:
		if last := len(c.entries) - 1; last >= 0 && body.Entry.GetIndex() != c.entries[last].GetIndex()+1 {
			return c.corrupt()
		}
		c.entries = append(c.entries, body.Entry)
	}
	return nil
}

func (c *contents) corrupt() error {
	return &CorruptError{
		File:   journalName,
		Offset: c.end,
	}
}

// openJournal opens the journal for appends behind what is saved: it cuts a torn write, and drops entries that a snapshot has replaced where a crash kept them.
func openJournal(folder string, content contents, saved journaler.PersistentState) (*os.File, error) {
	if len(saved.Entries) != len(content.entries) {
		if err := writeJournal(folder, saved.HardState, saved.Entries, saved.CommitIndex); err != nil {
			return nil, err
		}
		return openAppend(folder)
	}
	file, err := openAppend(folder)
	if err != nil {
		return nil, err
	}
	if err := file.Truncate(content.end); err != nil {
		return nil, fmt.Errorf("cut torn write: %w", err)
	}
	if err := file.Sync(); err != nil {
		return nil, fmt.Errorf("sync journal: %w", err)
	}
	// A crash may have come between a rename and its sync.
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

// replaceFile puts the content in the place of the named file, all or nothing, and durable.
func replaceFile(folder, name string, content []byte) error {
	next := name + ".next"
	if err := writeSynced(filepath.Join(folder, next), content); err != nil {
		return err
	}
	return putInPlace(folder, next, name)
}

// putInPlace renames a file that is synced already, and syncs the folder.
func putInPlace(folder, written, name string) error {
	if err := os.Rename(filepath.Join(folder, written), filepath.Join(folder, name)); err != nil {
		return fmt.Errorf("replace %s: %w", name, err)
	}
	return syncFolder(folder)
}

func writeSynced(path string, content []byte) error {
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
	handle, err := os.Open(folder)
	if err != nil {
		return fmt.Errorf("open data folder: %w", err)
	}
	defer handle.Close()
	if err := handle.Sync(); err != nil {
		return fmt.Errorf("sync data folder: %w", err)
	}
	return nil
}
