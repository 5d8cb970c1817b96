package archiver

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/internal/state/recorder"
	"pimentogate.example/pimentogate/internal/transport/storer"
	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	folderName = "outcomes"
	folderMode = 0o750
	fileMode   = 0o640
	// segments is how many files the total bound is divided into.
	segments = 8
	// maxReport is the number of records in one report at most.
	maxReport = 100_000
)

// segment is one file.
type segment struct {
	path string
	size int64
}

// Archiver is the open files of one control instance.
type Archiver struct {
	mutex   sync.Mutex
	folder  string
	limit   int64
	closed  []segment
	current segment
	// file is the current segment's, or nil until there is something to write, and after a write failed.
	file   *os.File
	number int
	intake *recorder.SequenceSet
}

// Open reads what the data folder holds; it writes nothing, so that a disk that takes no more bytes does not keep an instance from starting. Limit bounds all files together, in bytes.
func Open(dataFolder string, limit int64) (*Archiver, error) {
	a := &Archiver{
		folder: filepath.Join(dataFolder, folderName),
		limit:  limit,
		intake: recorder.NewSequenceSet(),
	}
	names, err := filepath.Glob(filepath.Join(a.folder, "*.log"))
	if err != nil {
		return nil, fmt.Errorf("outcomes: %w", err)
	}
	slices.Sort(names)
	for _, name := range names {
		if err := a.load(name); err != nil {
			return nil, err
		}
	}
	return a, nil
}

// load notes what an earlier life stored; a torn tail was never answered for.
func (a *Archiver) load(path string) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("outcomes: %w", err)
	}
	if _, err := fmt.Sscanf(filepath.Base(path), "%d.log", &a.number); err != nil {
		return fmt.Errorf("outcomes: %s: %w", path, err)
	}
	each(content, a.intake.Add)
	a.closed = append(a.closed, segment{
		path: path,
		size: int64(len(content)),
	})
	return nil
}

// Store syncs the records that are new, and returns the sequence up to which the batch is stored.
func (a *Archiver) Store(batch *wire.HandOverRequest) (uint64, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	records := batch.GetRecords()
	if len(records) == 0 {
		return 0, nil
	}
	if fresh := a.intake.FilterNew(records); len(fresh) > 0 {
		if err := a.write(fresh); err != nil {
			return 0, err
		}
		a.intake.Add(fresh)
	}
	return records[len(records)-1].GetSequence(), nil
}

func (a *Archiver) write(records []*wire.OutcomeRecord) error {
	frame, err := storer.EncodeFrame(&wire.HandOverRequest{
		Records: records,
	})
	if err != nil {
		return err
	}
	if a.file != nil && a.current.size+int64(len(frame)) > a.limit/segments {
		if err := a.finish(); err != nil {
			return err
		}
	}
	if a.file == nil {
		if err := a.begin(); err != nil {
			return err
		}
	}
	if _, err := a.file.Write(frame); err != nil {
		// What comes after a torn frame could not be read, so it goes into another file.
		return errors.Join(fmt.Errorf("write outcomes: %w", err), a.finish())
	}
	if err := a.file.Sync(); err != nil {
		return errors.Join(fmt.Errorf("sync outcomes: %w", err), a.finish())
	}
	a.current.size += int64(len(frame))
	return nil
}

// finish ends the current file, so that the next write begins another; one in which nothing was stored is removed.
func (a *Archiver) finish() error {
	file := a.file
	a.file = nil
	err := file.Close()
	if a.current.size == 0 {
		return errors.Join(err, os.Remove(a.current.path))
	}
	a.closed = append(a.closed, a.current)
	return err
}

// begin drops the oldest files beyond the bound, and goes on in a new one.
func (a *Archiver) begin() error {
	if err := os.MkdirAll(a.folder, folderMode); err != nil {
		return fmt.Errorf("outcomes: %w", err)
	}
	if err := a.dropOldest(); err != nil {
		return err
	}
	a.number++
	a.current = segment{
		path: filepath.Join(a.folder, fmt.Sprintf("%012d.log", a.number)),
	}
	file, err := os.OpenFile(a.current.path, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return fmt.Errorf("outcomes: %w", err)
	}
	a.file = file
	if err := syncFolder(a.folder); err != nil {
		return errors.Join(err, a.finish())
	}
	return nil
}

// dropOldest keeps room for one more file, and forgets what was in the files that it drops.
func (a *Archiver) dropOldest() error {
	dropped := false
	for len(a.closed) > 0 && a.closedSize() > a.limit-a.limit/segments {
		if err := os.Remove(a.closed[0].path); err != nil {
			return fmt.Errorf("drop old outcomes: %w", err)
		}
		a.closed = a.closed[1:]
		dropped = true
	}
	if !dropped {
		return nil
	}
	a.intake = recorder.NewSequenceSet()
	for _, s := range a.closed {
		content, err := os.ReadFile(s.path)
		if err != nil {
			return fmt.Errorf("read outcomes: %w", err)
		}
		each(content, a.intake.Add)
	}
	return nil
}

func (a *Archiver) closedSize() int64 {
	size := int64(0)
	for _, s := range a.closed {
		size += s.size
	}
	return size
}

// Report returns the records that fit, the newest where there are too many.
func (a *Archiver) Report(ask *wire.ReportRequest) (*wire.ReportResponse, error) {
	a.mutex.Lock()
	var paths []string
	if a.file != nil {
		paths = append(paths, a.current.path)
	}
	for i := len(a.closed) - 1; i >= 0; i-- {
		paths = append(paths, a.closed[i].path)
	}
	response := &wire.ReportResponse{
		Ranges: a.intake.Ranges(),
	}
	a.mutex.Unlock()
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("read outcomes: %w", err)
		}
		each(content, func(records []*wire.OutcomeRecord) {
			for _, record := range records {
				response.Records = addFitting(response, ask, record)
			}
		})
	}
	return response, nil
}

func addFitting(response *wire.ReportResponse, ask *wire.ReportRequest, record *wire.OutcomeRecord) []*wire.OutcomeRecord {
	if !fits(ask, record) {
		return response.GetRecords()
	}
	if len(response.GetRecords()) >= maxReport {
		response.Truncated = true
		return response.GetRecords()
	}
	return append(response.GetRecords(), record)
}

// Close closes the file.
func (a *Archiver) Close() error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.file == nil {
		return nil
	}
	if err := a.file.Close(); err != nil {
		return fmt.Errorf("close outcomes: %w", err)
	}
	return nil
}

func fits(ask *wire.ReportRequest, record *wire.OutcomeRecord) bool {
	return (ask.GetFromMs() == 0 || record.GetTimeMs() >= ask.GetFromMs()) &&
		(ask.GetToMs() == 0 || record.GetTimeMs() < ask.GetToMs()) &&
		(ask.GetRequestId() == "" || record.GetRequestId() == ask.GetRequestId()) &&
		(ask.GetTenant() == "" || record.GetTenant() == ask.GetTenant()) &&
		(ask.GetService() == "" || record.GetService() == ask.GetService())
}

// each gives the records of every whole frame.
func each(content []byte, take func([]*wire.OutcomeRecord)) {
	for len(content) > 0 {
		payload, size, ok := storer.DecodeFrame(content)
		if !ok {
			return
		}
		content = content[size:]
		batch := &wire.HandOverRequest{}
		if proto.Unmarshal(payload, batch) == nil {
			take(batch.GetRecords())
		}
	}
}

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("outcomes: %w", err)
	}
	defer folder.Close()
	if err := folder.Sync(); err != nil {
		return fmt.Errorf("sync outcomes: %w", err)
	}
	return nil
}
