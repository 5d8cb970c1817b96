package integration

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// BenchmarkEntryProcess gives what a query and a quiet second cost one entry instance alone, as a process of its own.
func BenchmarkEntryProcess(b *testing.B) {
	for _, shards := range []int{4, 8, 16} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			f := newFleet(b, plan{
				controls: 1,
				entries:  1,
				zones:    1,
				shards:   shards,
				replicas: 2,
			})
			e := f.entries[0]
			quiet := e.metric("process_cpu_seconds_total")
			time.Sleep(2 * time.Second)
			before := e.metric("process_cpu_seconds_total")
			quiet = (before - quiet) / 2
			for i := 0; b.Loop(); i++ {
				if answer, status := e.query(fmt.Sprintf("q%d", i), 1000); status != http.StatusOK || answer.Coverage != 1 {
					b.Fatal(status, answer)
				}
			}
			spent := (e.metric("process_cpu_seconds_total") - before) * 1e6 / float64(b.N)
			b.ReportMetric(spent, "cpu-µs/query")
			b.ReportMetric(spent/float64(shards), "cpu-µs/sub-request")
			b.ReportMetric(quiet*1e6, "cpu-µs/quiet-second")
			b.ReportMetric(e.metric("process_resident_memory_bytes")/(1<<20), "resident-MB")
		})
	}
}

// BenchmarkQuietProcess gives what a quiet second costs an entry instance, by how many peers it has.
func BenchmarkQuietProcess(b *testing.B) {
	const seconds = 3
	for _, entries := range []int{2, 4, 8} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			f := newFleet(b, plan{
				controls: 1,
				entries:  entries,
				zones:    1,
				shards:   4,
				replicas: 2,
			})
			e := f.entries[0]
			for b.Loop() {
				before := e.metric("process_cpu_seconds_total")
				time.Sleep(seconds * time.Second)
				b.ReportMetric((e.metric("process_cpu_seconds_total")-before)*1e6/seconds, "cpu-µs/quiet-second")
			}
			b.ReportMetric(e.metric("process_resident_memory_bytes")/(1<<20), "resident-MB")
		})
	}
}

// metric reads one of the entry instance's metrics.
func (p *process) metric(name string) float64 {
	p.t.Helper()
	response, err := http.Get("http://" + p.callers + "/metrics")
	check(p.t, err)
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		text, found := strings.CutPrefix(lines.Text(), name+" ")
		if !found {
			continue
		}
		value, err := strconv.ParseFloat(text, 64)
		check(p.t, err)
		return value
	}
	p.t.Fatalf("%s has no metric %s", p.name, name)
	return 0
}
