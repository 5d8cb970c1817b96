package recorder

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	maxLatency = 10 * time.Minute
	digits     = 3
)

// Group is what requests are counted by.
type Group struct {
	Tenant  string `json:"tenant"`
	Service string `json:"service"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

// Line is one group's figures.
type Line struct {
	Group

	Count        int64   `json:"count"`
	P50Us        int64   `json:"p50-us"`
	P99Us        int64   `json:"p99-us"`
	P999Us       int64   `json:"p99.9-us"`
	LeastCovered float64 `json:"least-coverage"`
	MeanCovered  float64 `json:"mean-coverage"`
}

// tally is a group's figures while they are gathered.
type tally struct {
	count    int64
	covered  uint64
	least    uint32
	latency  *hdrhistogram.Histogram
	searches uint64
}

// Summarize counts the records by group, in the groups' order.
func Summarize(records []*wire.OutcomeRecord) []Line {
	tallies := map[Group]*tally{}
	for _, record := range records {
		group := Group{
			Tenant:  record.GetTenant(),
			Service: record.GetService(),
			Outcome: record.GetOutcome(),
			Reason:  record.GetReason(),
		}
		known, ok := tallies[group]
		if !ok {
			known = &tally{
				least:   wire.CoverageWhole,
				latency: hdrhistogram.New(1, maxLatency.Microseconds(), digits),
			}
			tallies[group] = known
		}
		known.add(record)
	}
	lines := make([]Line, 0, len(tallies))
	for group, known := range tallies {
		lines = append(lines, known.line(group))
	}
	slices.SortFunc(lines, compareLines)
	return lines
}

// add takes one record; only searches have an index version, and a coverage.
func (t *tally) add(record *wire.OutcomeRecord) {
	t.count++
	latency := min(int64(record.GetLatencyUs()), maxLatency.Microseconds())
	_ = t.latency.RecordValue(latency)
	if record.GetVersion() == 0 {
		return
	}
	t.searches++
	t.covered += uint64(record.GetCoverageMillionths())
	t.least = min(t.least, record.GetCoverageMillionths())
}

func (t *tally) line(group Group) Line {
	line := Line{
		Group:  group,
		Count:  t.count,
		P50Us:  t.latency.ValueAtQuantile(50),
		P99Us:  t.latency.ValueAtQuantile(99),
		P999Us: t.latency.ValueAtQuantile(99.9),
	}
	if t.searches > 0 {
		line.LeastCovered = float64(t.least) / wire.CoverageWhole
		line.MeanCovered = float64(t.covered/t.searches) / wire.CoverageWhole
	}
	return line
}

func compareLines(a, b Line) int {
	return cmp.Or(
		cmp.Compare(a.Tenant, b.Tenant),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Outcome, b.Outcome),
		cmp.Compare(a.Reason, b.Reason),
	)
}
