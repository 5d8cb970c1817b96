package recorder

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// maxLatency is the highest latency a histogram can hold. Higher latencies are counted as this one.
	maxLatency        = 10 * time.Minute
	significantDigits = 3
)

// Group is the key by which records are grouped.
type Group struct {
	Tenant  string `json:"tenant"`
	Service string `json:"service"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

// GroupStats is the statistics of one group. Latencies are in microseconds, coverages from 0 to 1.
type GroupStats struct {
	Group

	Count        int64   `json:"count"`
	P50Us        int64   `json:"p50-us"`
	P99Us        int64   `json:"p99-us"`
	P999Us       int64   `json:"p99.9-us"`
	MinCoverage  float64 `json:"least-coverage"`
	MeanCoverage float64 `json:"mean-coverage"`
}

// accumulator collects the statistics of one group. Its coverages are in millionths.
type accumulator struct {
	count       int64
	coverageSum uint64
	minCoverage uint32
	latency     *hdrhistogram.Histogram
	searches    uint64
}

// Summarize returns the statistics of the records by group, sorted by group.
func Summarize(records []*wire.OutcomeRecord) []GroupStats {
	accumulators := map[Group]*accumulator{}
	for _, record := range records {
		group := Group{
			Tenant:  record.GetTenant(),
			Service: record.GetService(),
			Outcome: record.GetOutcome(),
			Reason:  record.GetReason(),
		}
		acc, ok := accumulators[group]
		if !ok {
			acc = &accumulator{
				minCoverage: wire.FullCoverage,
				latency:     hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
			}
			accumulators[group] = acc
		}
		acc.add(record)
	}
	stats := make([]GroupStats, 0, len(accumulators))
	for group, acc := range accumulators {
		stats = append(stats, acc.stats(group))
	}
	slices.SortFunc(stats, compareGroups)
	return stats
}

// add counts one record. Only records of searches have an index version and a coverage.
func (a *accumulator) add(record *wire.OutcomeRecord) {
	a.count++
	latency := min(int64(record.GetLatencyUs()), maxLatency.Microseconds())
	_ = a.latency.RecordValue(latency)
	if record.GetVersion() == 0 {
		return
	}
	a.searches++
	a.coverageSum += uint64(record.GetCoverageMillionths())
	a.minCoverage = min(a.minCoverage, record.GetCoverageMillionths())
}

func (a *accumulator) stats(group Group) GroupStats {
	stats := GroupStats{
		Group:  group,
		Count:  a.count,
		P50Us:  a.latency.ValueAtQuantile(50),
		P99Us:  a.latency.ValueAtQuantile(99),
		P999Us: a.latency.ValueAtQuantile(99.9),
	}
	if a.searches > 0 {
		stats.MinCoverage = float64(a.minCoverage) / wire.FullCoverage
		stats.MeanCoverage = float64(a.coverageSum/a.searches) / wire.FullCoverage
	}
	return stats
}

func compareGroups(a, b GroupStats) int {
	return cmp.Or(
		cmp.Compare(a.Tenant, b.Tenant),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Outcome, b.Outcome),
		cmp.Compare(a.Reason, b.Reason),
	)
}
