package loader

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// reporter prints results as JSON for programs, one object per line, and as a table for people.
type reporter struct {
	jsonOut  io.Writer
	tableOut io.Writer
	results  []Result
}

// add prints a result as JSON and keeps it for the table.
func (r *reporter) add(result Result) {
	r.results = append(r.results, result)
	encoded, err := json.Marshal(result)
	if err == nil {
		fmt.Fprintln(r.jsonOut, string(encoded))
	}
}

// printTable prints the table of all results, and a warning for each in which the loader was saturated.
func (r *reporter) printTable() {
	w := tabwriter.NewWriter(r.tableOut, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "policy\tservice\tload\toffered/s\tanswered/s\tp50 ms\tp99 ms\tp99.9 ms\tcoverage\twork\topened\trefused\tsend lag p99 ms\t")
	for _, result := range r.results {
		fmt.Fprintf(w, "%s\t%s\t%.0f %%\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\t%.5f\t%.3f\t%d\t%s\t%.1f\t\n",
			result.Policy, result.Service, result.LoadShare*100, result.OfferedPerSecond, result.AnsweredPerSecond,
			result.P50Ms, result.P99Ms, result.P999Ms, result.Coverage, result.UpstreamWork, result.ConnectionsOpened, formatRefusals(result), result.SendLagP99Ms)
	}
	_ = w.Flush()
	for _, result := range r.results {
		if result.LoaderSaturated {
			fmt.Fprintf(r.tableOut, "%s, %s: the loader or its machine fell behind (send lag p99 above %s, or %d queries discarded); the latencies include delays of the loader\n", result.Policy, result.Service, saturationSendLag, result.Discarded)
		}
	}
}

// formatRefusals lists the refusals by outcome and reason, and the failures.
func formatRefusals(result Result) string {
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(result.Refused)) {
		parts = append(parts, fmt.Sprintf("%d %s", result.Refused[reason], reason))
	}
	if result.Failures > 0 {
		parts = append(parts, fmt.Sprintf("%d failed", result.Failures))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}
