package archiver

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"pimentogate.example/pimentogate/pkg/wire"
)

const testLimitBytes = 64 << 10

func openArchiver(t *testing.T, folder string) *Archiver {
	t.Helper()
	a, err := Open(folder, testLimitBytes)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func newBatch(first, last uint64) *wire.HandOverRequest {
	batch := &wire.HandOverRequest{}
	for sequence := first; sequence <= last; sequence++ {
		batch.Records = append(batch.Records, &wire.OutcomeRecord{
			RequestId: strings.Repeat("r", 100),
			Instance:  "entry-1",
			Sequence:  sequence,
			TimeMs:    int64(sequence),
			Tenant:    []string{"bakery", "notary"}[sequence%2],
		})
	}
	return batch
}

func storeRange(t *testing.T, a *Archiver, first, last uint64) {
	t.Helper()
	stored, err := a.Store(newBatch(first, last))
	if err != nil || stored != last {
		t.Fatalf("stored up to %d, %v; want %d", stored, err, last)
	}
}

func mustReport(t *testing.T, a *Archiver, request *wire.ReportRequest) *wire.ReportResponse {
	t.Helper()
	response, err := a.Report(request)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

func TestArchiveSurvivesFaults(t *testing.T) {
	cases := []struct {
		name        string
		fault       func(t *testing.T, folder, newest string)
		wantRecords int
	}{
		{"killed after an acknowledged write", func(*testing.T, string, string) {}, 10},
		{"killed during an unacknowledged write", func(t *testing.T, _, newest string) {
			content, err := os.ReadFile(newest)
			if err != nil || os.WriteFile(newest, content[:len(content)-3], 0o600) != nil {
				t.Fatal(err)
			}
		}, 5},
		{"killed during a rotation, with an empty file", func(t *testing.T, folder, _ string) {
			if err := os.WriteFile(filepath.Join(folder, folderName, "000000000009.log"), nil, 0o600); err != nil {
				t.Fatal(err)
			}
		}, 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			folder := t.TempDir()
			a := openArchiver(t, folder)
			storeRange(t, a, 1, 5)
			storeRange(t, a, 6, 10)
			c.fault(t, folder, a.current.path)
			reopened := openArchiver(t, folder)
			if got := len(mustReport(t, reopened, &wire.ReportRequest{}).GetRecords()); got != c.wantRecords {
				t.Errorf("%d records after a restart, want %d", got, c.wantRecords)
			}
			// The resend restores the lost records and adds no duplicates.
			storeRange(t, reopened, 1, 12)
			response := mustReport(t, reopened, &wire.ReportRequest{})
			if len(response.GetRecords()) != 12 || len(response.GetRanges()) != 1 {
				t.Errorf("%d records in %v after the resend, want 12 in one range", len(response.GetRecords()), response.GetRanges())
			}
		})
	}
}

// TestRecoversFromWriteErrors checks that an archive opens on a disk that cannot be written to, returns an
// error for records that it cannot store, and continues in a new file once the disk is writable, without
// losing stored records.
func TestRecoversFromWriteErrors(t *testing.T) {
	folder := t.TempDir()
	// A file in place of the folder simulates a disk on which no file can be created.
	blockingFile := filepath.Join(folder, folderName)
	if err := os.WriteFile(blockingFile, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	a := openArchiver(t, folder)
	for range 3 {
		if stored, err := a.Store(newBatch(1, 5)); err == nil {
			t.Fatalf("Store returned %d on a disk that cannot be written to, want an error", stored)
		}
	}
	if err := os.Remove(blockingFile); err != nil {
		t.Fatal(err)
	}
	storeRange(t, a, 1, 5)
	for last := uint64(10); last <= 20; last += 5 {
		// A write to a closed file fails like a write to a full disk.
		a.file.Close()
		if stored, err := a.Store(newBatch(last-4, last)); err == nil {
			t.Fatalf("Store returned %d for a closed file, want an error", stored)
		}
		storeRange(t, a, last-4, last)
	}
	if got := len(mustReport(t, openArchiver(t, folder), &wire.ReportRequest{}).GetRecords()); got != 20 {
		t.Errorf("%d records after a restart, want 20", got)
	}
}

func TestArchiveIsBounded(t *testing.T) {
	folder := t.TempDir()
	a := openArchiver(t, folder)
	for first := uint64(1); first < 5000; first += 10 {
		storeRange(t, a, first, first+9)
		if used := usedBytes(t, folder); used > testLimitBytes {
			t.Fatalf("%d bytes used after record %d, limit %d", used, first, testLimitBytes)
		}
	}
	response := mustReport(t, a, &wire.ReportRequest{})
	ranges := response.GetRanges()
	if len(ranges) != 1 || ranges[0].GetLast() != 5000 || uint64(len(response.GetRecords())) != ranges[0].GetLast()-ranges[0].GetFirst()+1 {
		t.Errorf("got %d records in ranges %v, want one range up to 5000 with all its records", len(response.GetRecords()), ranges)
	}
}

func TestReportFilters(t *testing.T) {
	a := openArchiver(t, t.TempDir())
	storeRange(t, a, 1, 10)
	cases := []struct {
		name        string
		request     *wire.ReportRequest
		wantRecords int
	}{
		{"all", &wire.ReportRequest{}, 10},
		{"time range", &wire.ReportRequest{FromMs: 3, ToMs: 6}, 3},
		{"tenant", &wire.ReportRequest{Tenant: "bakery"}, 5},
		{"unknown service", &wire.ReportRequest{Service: "none"}, 0},
		{"request ID", &wire.ReportRequest{RequestId: strings.Repeat("r", 100)}, 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := len(mustReport(t, a, c.request).GetRecords()); got != c.wantRecords {
				t.Errorf("%d records, want %d", got, c.wantRecords)
			}
		})
	}
}

func usedBytes(t *testing.T, folder string) int64 {
	t.Helper()
	entries, err := os.ReadDir(filepath.Join(folder, folderName))
	if err != nil {
		t.Fatal(err)
	}
	used := int64(0)
	for _, entry := range entries {
		info, err := entry.Info()
		if err != nil {
			t.Fatal(err)
		}
		used += info.Size()
	}
	return used
}

// BenchmarkStore measures synced batches of three sizes. It reports the time and the bytes on disk per
// record.
func BenchmarkStore(b *testing.B) {
	for _, size := range []uint64{10, 100, 1000} {
		b.Run(strconv.FormatUint(size, 10), func(b *testing.B) {
			a, err := Open(b.TempDir(), 1<<30)
			if err != nil {
				b.Fatal(err)
			}
			first := uint64(1)
			for b.Loop() {
				batch := newBatch(first, first+size-1)
				first += size
				if _, err := a.Store(batch); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(first-1), "us/record")
			b.ReportMetric(float64(a.current.sizeBytes+a.closedBytes())/float64(first-1), "B/record")
		})
	}
}
