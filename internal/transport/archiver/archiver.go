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
	// segmentCount divides the size limit: one file holds up to limitBytes/segmentCount, or one larger frame.
	segmentCount = 8
	// maxReportRecords limits the records in one report.
	maxReportRecords = 100_000
)

// segment is one file of the archive.
type segment struct {
	path      string
	sizeBytes int64
}

// Archiver stores outcome records in the segment files of one control instance. It is safe for concurrent
// use.
type Archiver struct {
	mutex      sync.Mutex
	folder     string
	limitBytes int64
	closed     []segment
	current    segment
	// file is the open file of the current segment. It is nil until the first write and after a failed write.
	file *os.File
	// lastNumber is the highest number used in the name of a segment file.
	lastNumber int
	// stored holds the sequence numbers of the records in all segments.
	stored *recorder.SequenceSet
}

// Open loads the segments in the data folder. It writes nothing, so that an instance can start on a full
// disk. limitBytes limits the total size of all segments.
func Open(dataFolder string, limitBytes int64) (*Archiver, error) {
	a := &Archiver{
		folder:     filepath.Join(dataFolder, folderName),
		limitBytes: limitBytes,
		stored:     recorder.NewSequenceSet(),
	}
	paths, err := filepath.Glob(filepath.Join(a.folder, "*.log"))
	if err != nil {
		return nil, fmt.Errorf("list outcome files: %w", err)
	}
	slices.Sort(paths)
	for _, path := range paths {
		if err := a.loadSegment(path); err != nil {
			return nil, err
		}
	}
	return a, nil
}

// loadSegment adds a segment that an earlier run of the instance wrote. It ignores a torn frame at the end,
// which was never acknowledged.
func (a *Archiver) loadSegment(path string) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("load outcomes: %w", err)
	}
	if _, err := fmt.Sscanf(filepath.Base(path), "%d.log", &a.lastNumber); err != nil {
		return fmt.Errorf("load outcomes: file name %s: %w", path, err)
	}
	forEachBatch(content, a.stored.Add)
	a.closed = append(a.closed, segment{
		path:      path,
		sizeBytes: int64(len(content)),
	})
	return nil
}

// Store writes the records that are not yet stored, syncs them to disk and returns the sequence number of the
// last record of the batch, or 0 for an empty batch.
func (a *Archiver) Store(batch *wire.HandOverRequest) (uint64, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	records := batch.GetRecords()
	if len(records) == 0 {
		return 0, nil
	}
	if newRecords := a.stored.FilterNew(records); len(newRecords) > 0 {
		if err := a.appendRecords(newRecords); err != nil {
			return 0, err
		}
		a.stored.Add(newRecords)
	}
	return records[len(records)-1].GetSequence(), nil
}

// appendRecords writes one frame to the current segment and syncs it. It starts a new segment if the frame
// does not fit.
func (a *Archiver) appendRecords(records []*wire.OutcomeRecord) error {
	frame, err := storer.EncodeFrame(&wire.HandOverRequest{
		Records: records,
	})
	if err != nil {
		return err
	}
	if a.file != nil && a.current.sizeBytes+int64(len(frame)) > a.limitBytes/segmentCount {
		if err := a.closeSegment(); err != nil {
			return err
		}
	}
	if a.file == nil {
		if err := a.openSegment(); err != nil {
			return err
		}
	}
	if _, err := a.file.Write(frame); err != nil {
		// Frames after a torn frame cannot be read, so the next write starts a new segment.
		return errors.Join(fmt.Errorf("write outcomes: %w", err), a.closeSegment())
	}
	if err := a.file.Sync(); err != nil {
		return errors.Join(fmt.Errorf("sync outcomes: %w", err), a.closeSegment())
	}
	a.current.sizeBytes += int64(len(frame))
	return nil
}

// closeSegment closes the current segment, so that the next write opens a new one. It removes the file if
// nothing was stored in it.
func (a *Archiver) closeSegment() error {
	file := a.file
	a.file = nil
	err := file.Close()
	if a.current.sizeBytes == 0 {
		return errors.Join(err, os.Remove(a.current.path))
	}
	a.closed = append(a.closed, a.current)
	return err
}

// openSegment removes the oldest segments beyond the size limit and opens a new one.
func (a *Archiver) openSegment() error {
	if err := os.MkdirAll(a.folder, folderMode); err != nil {
		return fmt.Errorf("outcomes: %w", err)
	}
	if err := a.removeOldest(); err != nil {
		return err
	}
	a.lastNumber++
	a.current = segment{
		path: filepath.Join(a.folder, fmt.Sprintf("%012d.log", a.lastNumber)),
	}
	file, err := os.OpenFile(a.current.path, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return fmt.Errorf("outcomes: %w", err)
	}
	a.file = file
	if err := syncFolder(a.folder); err != nil {
		return errors.Join(err, a.closeSegment())
	}
	return nil
}

// removeOldest removes the oldest segments until there is room for one more, and removes their records from
// the stored sequences.
func (a *Archiver) removeOldest() error {
	removed := false
	for len(a.closed) > 0 && a.closedBytes() > a.limitBytes-a.limitBytes/segmentCount {
		if err := os.Remove(a.closed[0].path); err != nil {
			return fmt.Errorf("drop old outcomes: %w", err)
		}
		a.closed = a.closed[1:]
		removed = true
	}
	if !removed {
		return nil
	}
	a.stored = recorder.NewSequenceSet()
	for _, s := range a.closed {
		content, err := os.ReadFile(s.path)
		if err != nil {
			return fmt.Errorf("read outcomes: %w", err)
		}
		forEachBatch(content, a.stored.Add)
	}
	return nil
}

func (a *Archiver) closedBytes() int64 {
	size := int64(0)
	for _, s := range a.closed {
		size += s.sizeBytes
	}
	return size
}

// Report returns the records that match the request. It reads the newest segments first and marks the
// response as truncated once it holds maxReportRecords.
func (a *Archiver) Report(request *wire.ReportRequest) (*wire.ReportResponse, error) {
	a.mutex.Lock()
	var paths []string
	if a.file != nil {
		paths = append(paths, a.current.path)
	}
	for i := len(a.closed) - 1; i >= 0; i-- {
		paths = append(paths, a.closed[i].path)
	}
	response := &wire.ReportResponse{
		Ranges: a.stored.Ranges(),
	}
	a.mutex.Unlock()
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if os.IsNotExist(err) {
			// A concurrent Store has removed the segment.
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("read outcomes: %w", err)
		}
		forEachBatch(content, func(records []*wire.OutcomeRecord) {
			for _, record := range records {
				response.Records = appendMatching(response, request, record)
			}
		})
	}
	return response, nil
}

// appendMatching returns the records of the response, with the record appended if it matches the request and
// there is room for it.
func appendMatching(response *wire.ReportResponse, request *wire.ReportRequest, record *wire.OutcomeRecord) []*wire.OutcomeRecord {
	if !matches(request, record) {
		return response.GetRecords()
	}
	if len(response.GetRecords()) >= maxReportRecords {
		response.Truncated = true
		return response.GetRecords()
	}
	return append(response.GetRecords(), record)
}

// Close closes the open segment file.
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

// matches reports whether the record matches the filters of the request. The time range excludes its end.
func matches(request *wire.ReportRequest, record *wire.OutcomeRecord) bool {
	return (request.GetFromMs() == 0 || record.GetTimeMs() >= request.GetFromMs()) &&
		(request.GetToMs() == 0 || record.GetTimeMs() < request.GetToMs()) &&
		(request.GetRequestId() == "" || record.GetRequestId() == request.GetRequestId()) &&
		(request.GetTenant() == "" || record.GetTenant() == request.GetTenant()) &&
		(request.GetService() == "" || record.GetService() == request.GetService())
}

// forEachBatch calls visit with the records of each complete frame. It stops at the first torn frame.
func forEachBatch(content []byte, visit func([]*wire.OutcomeRecord)) {
	for len(content) > 0 {
		payload, size, ok := storer.DecodeFrame(content)
		if !ok {
			return
		}
		content = content[size:]
		batch := &wire.HandOverRequest{}
		if proto.Unmarshal(payload, batch) == nil {
			visit(batch.GetRecords())
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
