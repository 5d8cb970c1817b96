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

// BenchmarkEntryProcess measures the CPU time of a single entry instance per query and per idle second, and its resident memory.
func BenchmarkEntryProcess(b *testing.B) {
	for _, shards := range []int{4, 8, 16} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			f := newFleet(b, topology{
				controls: 1,
				entries:  1,
				zones:    1,
				shards:   shards,
				replicas: 2,
			})
			e := f.entries[0]
			idleCPU := e.metric("process_cpu_seconds_total")
			time.Sleep(2 * time.Second)
			before := e.metric("process_cpu_seconds_total")
			idleCPU = (before - idleCPU) / 2
			for i := 0; b.Loop(); i++ {
				if answer, status := e.query(fmt.Sprintf("q%d", i), 1000); status != http.StatusOK || answer.Coverage != 1 {
					b.Fatal(status, answer)
				}
			}
			cpuMicros := (e.metric("process_cpu_seconds_total") - before) * 1e6 / float64(b.N)
			b.ReportMetric(cpuMicros, "cpu-µs/query")
			b.ReportMetric(cpuMicros/float64(shards), "cpu-µs/sub-request")
			b.ReportMetric(idleCPU*1e6, "cpu-µs/quiet-second")
			b.ReportMetric(e.metric("process_resident_memory_bytes")/(1<<20), "resident-MB")
		})
	}
}

// BenchmarkQuietProcess measures the CPU time of an entry instance per idle second, by the number of entry instances.
func BenchmarkQuietProcess(b *testing.B) {
	const idleSeconds = 3
	for _, entries := range []int{2, 4, 8} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			f := newFleet(b, topology{
				controls: 1,
				entries:  entries,
				zones:    1,
				shards:   4,
				replicas: 2,
			})
			e := f.entries[0]
			for b.Loop() {
				before := e.metric("process_cpu_seconds_total")
				time.Sleep(idleSeconds * time.Second)
				b.ReportMetric((e.metric("process_cpu_seconds_total")-before)*1e6/idleSeconds, "cpu-µs/quiet-second")
			}
			b.ReportMetric(e.metric("process_resident_memory_bytes")/(1<<20), "resident-MB")
		})
	}
}

// metric returns the current value of a metric of the entry instance.
func (p *process) metric(name string) float64 {
	p.t.Helper()
	response, err := http.Get("http://" + p.callerAddress + "/metrics")
	must(p.t, err)
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		valueText, found := strings.CutPrefix(scanner.Text(), name+" ")
		if !found {
			continue
		}
		value, err := strconv.ParseFloat(valueText, 64)
		must(p.t, err)
		return value
	}
	p.t.Fatalf("%s does not export metric %s", p.name, name)
	return 0
}
