package archiver

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"pimentogate.example/pimentogate/pkg/wire"
)

const limit = 64 << 10

func open(t *testing.T, folder string) *Archiver {
	t.Helper()
	a, err := Open(folder, limit)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func batchOf(first, last uint64) *wire.HandOverRequest {
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

func store(t *testing.T, a *Archiver, first, last uint64) {
	t.Helper()
	stored, err := a.Store(batchOf(first, last))
	if err != nil || stored != last {
		t.Fatalf("stored up to %d, %v; want %d", stored, err, last)
	}
}

func report(t *testing.T, a *Archiver, ask *wire.ReportRequest) *wire.ReportResponse {
	t.Helper()
	response, err := a.Report(ask)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

func TestArchiveSurvivesFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault func(t *testing.T, folder, newest string)
		held  int
	}{
		{"killed after an answer", func(*testing.T, string, string) {}, 10},
		{"killed in a write, which was not answered", func(t *testing.T, _, newest string) {
			content, err := os.ReadFile(newest)
			if err != nil || os.WriteFile(newest, content[:len(content)-3], 0o600) != nil {
				t.Fatal(err)
			}
		}, 5},
		{"an empty file from a kill in a rotation", func(t *testing.T, folder, _ string) {
			if err := os.WriteFile(filepath.Join(folder, folderName, "000000000009.log"), nil, 0o600); err != nil {
				t.Fatal(err)
			}
		}, 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			folder := t.TempDir()
			a := open(t, folder)
			store(t, a, 1, 5)
			store(t, a, 6, 10)
			c.fault(t, folder, a.current.path)
			again := open(t, folder)
			if held := len(report(t, again, &wire.ReportRequest{}).GetRecords()); held != c.held {
				t.Errorf("%d records after a restart, want %d", held, c.held)
			}
			// The resend fills what was lost, and doubles nothing.
			store(t, again, 1, 12)
			response := report(t, again, &wire.ReportRequest{})
			if len(response.GetRecords()) != 12 || len(response.GetRanges()) != 1 {
				t.Errorf("%d records in %v after the resend, want 12 in one range", len(response.GetRecords()), response.GetRanges())
			}
		})
	}
}

// TestDiskRefuses holds that an archive opens on a disk that takes nothing, refuses what it can't store, and goes on in a new file once the disk takes bytes again, with nothing that was stored lost.
func TestDiskRefuses(t *testing.T) {
	folder := t.TempDir()
	// A file in the folder's place stands for a disk on which nothing can be created.
	blocked := filepath.Join(folder, folderName)
	if err := os.WriteFile(blocked, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	a := open(t, folder)
	for range 3 {
		if stored, err := a.Store(batchOf(1, 5)); err == nil {
			t.Fatalf("stored up to %d on a disk that refuses", stored)
		}
	}
	if err := os.Remove(blocked); err != nil {
		t.Fatal(err)
	}
	store(t, a, 1, 5)
	for last := uint64(10); last <= 20; last += 5 {
		// A write to a file that is closed fails as on a full disk.
		a.file.Close()
		if stored, err := a.Store(batchOf(last-4, last)); err == nil {
			t.Fatalf("stored up to %d in a file that refuses", stored)
		}
		store(t, a, last-4, last)
	}
	if held := len(report(t, open(t, folder), &wire.ReportRequest{}).GetRecords()); held != 20 {
		t.Errorf("%d records after a restart, want 20", held)
	}
}

func TestArchiveIsBounded(t *testing.T) {
	folder := t.TempDir()
	a := open(t, folder)
	for first := uint64(1); first < 5000; first += 10 {
		store(t, a, first, first+9)
		if used := usedBytes(t, folder); used > limit {
			t.Fatalf("%d bytes after record %d, bound %d", used, first, limit)
		}
	}
	response := report(t, a, &wire.ReportRequest{})
	ranges := response.GetRanges()
	if len(ranges) != 1 || ranges[0].GetLast() != 5000 || uint64(len(response.GetRecords())) != ranges[0].GetLast()-ranges[0].GetFirst()+1 {
		t.Errorf("%d records, ranges %v", len(response.GetRecords()), ranges)
	}
}

func TestReportFilters(t *testing.T) {
	a := open(t, t.TempDir())
	store(t, a, 1, 10)
	cases := []struct {
		name string
		ask  *wire.ReportRequest
		held int
	}{
		{"all", &wire.ReportRequest{}, 10},
		{"a span", &wire.ReportRequest{FromMs: 3, ToMs: 6}, 3},
		{"a tenant", &wire.ReportRequest{Tenant: "bakery"}, 5},
		{"another service", &wire.ReportRequest{Service: "none"}, 0},
		{"a request", &wire.ReportRequest{RequestId: strings.Repeat("r", 100)}, 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if held := len(report(t, a, c.ask).GetRecords()); held != c.held {
				t.Errorf("%d records, want %d", held, c.held)
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

// BenchmarkStore gives the time of one synced hand-over at three sizes, and the bytes of a record on disk.
func BenchmarkStore(b *testing.B) {
	for _, size := range []uint64{10, 100, 1000} {
		b.Run(strconv.FormatUint(size, 10), func(b *testing.B) {
			a, err := Open(b.TempDir(), 1<<30)
			if err != nil {
				b.Fatal(err)
			}
			first := uint64(1)
			for b.Loop() {
				batch := batchOf(first, first+size-1)
				first += size
				if _, err := a.Store(batch); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(first-1), "us/record")
			b.ReportMetric(float64(a.current.size+a.closedSize())/float64(first-1), "B/record")
		})
	}
}
