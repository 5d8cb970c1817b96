package storer

import (
	"fmt"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

// contents is what a journal's file holds.
type contents struct {
	hard    *wire.HardState
	entries []*wire.JournalEntry
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

// checkTail tells a torn tail, behind which no whole record stands, from damage in the middle.
func checkTail(raw []byte, offset int64) error {
	for i := int(offset) + 1; i < len(raw); i++ {
		payload, _, ok := decodeFrame(raw[i:])
		if ok && proto.Unmarshal(payload, &wire.JournalRecord{}) == nil {
			return &CorruptError{
				File:   journalName,
				Offset: offset,
			}
		}
	}
	return nil
}

func (c *contents) take(payload []byte) error {
	record := &wire.JournalRecord{}
	if err := proto.Unmarshal(payload, record); err != nil {
		return &CorruptError{
			File:   journalName,
			Offset: c.end,
		}
	}
	switch body := record.GetRecord().(type) {
	case *wire.JournalRecord_Hard:
		c.hard = body.Hard
	case *wire.JournalRecord_TruncateFrom:
		c.entries = before(c.entries, body.TruncateFrom)
	case *wire.JournalRecord_Entry:
		c.entries = append(c.entries, body.Entry)
	}
	return nil
}

// openTail opens the journal for appends behind its last whole record.
func openTail(path string, end int64) (*os.File, error) {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open journal: %w", err)
	}
	if err := file.Truncate(end); err != nil {
		return nil, fmt.Errorf("cut torn tail: %w", err)
	}
	if err := file.Sync(); err != nil {
		return nil, fmt.Errorf("sync journal: %w", err)
	}
	return file, nil
}

// replaceFile puts the content in the place of the named file, all or nothing, and durable.
func replaceFile(folder, name string, content []byte) error {
	path := filepath.Join(folder, name)
	next := path + ".next"
	if err := writeSynced(next, content); err != nil {
		return err
	}
	if err := os.Rename(next, path); err != nil {
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
