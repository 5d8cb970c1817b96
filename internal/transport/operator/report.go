package operator

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/state/recorder"
	"pimentogate.example/pimentogate/internal/transport/launcher"
	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

// reportTimeout limits the call for the records of one control instance.
const reportTimeout = 5 * time.Second

// report is the merged report of all control instances.
type report struct {
	// Groups are the statistics of the records, by tenant, service, outcome and reason.
	Groups      []recorder.GroupStats `json:"lines"`
	RecordCount int                   `json:"records"`
	// MissingCount is the number of records, of any time, that none of the control instances that answered holds. It is found by gaps in the sequence numbers.
	MissingCount uint64 `json:"missing"`
	// Unreached holds the addresses of the control instances that did not answer. Their records are not included.
	Unreached []string `json:"unreached"`
	// Truncated is true if a control instance did not send all matching records.
	Truncated bool `json:"truncated"`

	records []*wire.OutcomeRecord
}

// requestTrace is the record of one request as printed.
type requestTrace struct {
	Time      string   `json:"time"`
	Instance  string   `json:"instance"`
	RequestID string   `json:"request-id"`
	Tenant    string   `json:"tenant"`
	Service   string   `json:"service"`
	Outcome   string   `json:"outcome"`
	Reason    string   `json:"reason"`
	Version   uint64   `json:"index-version"`
	Coverage  float64  `json:"coverage"`
	LatencyUs uint64   `json:"latency-us"`
	Decisions []string `json:"decisions"`
}

func (o *Operator) runReport(flags *flag.FlagSet, arguments []string) error {
	control := addControlFlag(flags)
	from := flags.String("from", "", "start of the time range, as RFC 3339; the oldest record if empty")
	to := flags.String("to", "", "end of the time range, as RFC 3339; now if empty")
	tenant := flags.String("tenant", "", "count this tenant only")
	service := flags.String("service", "", "count this service only")
	requestID := flags.String("request", "", "trace the request with this id")
	asJSON := flags.Bool("json", false, "print JSON")
	if err := launcher.ParseFlags(flags, arguments, 0); err != nil {
		return err
	}
	request := &wire.ReportRequest{
		RequestId: *requestID,
		Tenant:    *tenant,
		Service:   *service,
	}
	var err error
	if request.FromMs, err = parseTime("from", *from); err != nil {
		return err
	}
	if request.ToMs, err = parseTime("to", *to); err != nil {
		return err
	}
	merged, err := collectReport(strings.Split(*control, ","), request)
	if err != nil {
		return err
	}
	switch {
	case *requestID != "":
		return o.printTrace(merged, *asJSON)
	case *asJSON:
		return o.printJSON(merged)
	default:
		return o.printReport(merged)
	}
}

func parseTime(name, value string) (int64, error) {
	if value == "" {
		return 0, nil
	}
	at, err := time.Parse(time.RFC3339, value)
	if err != nil {
		return 0, &UsageError{
			Reason: fmt.Sprintf("-%s %q: must be a time such as 2026-01-31T08:00:00Z", name, value),
		}
	}
	return at.UnixMilli(), nil
}

// collectReport merges the reports of all control instances. A record that several of them hold is counted once.
func collectReport(addresses []string, request *wire.ReportRequest) (*report, error) {
	merged := &report{
		Unreached: []string{},
	}
	heldSequences := recorder.NewSequenceSet()
	seenSequences := recorder.NewSequenceSet()
	for _, address := range addresses {
		response, err := fetchReport(address, request)
		if err != nil {
			merged.Unreached = append(merged.Unreached, address)
			continue
		}
		for _, r := range response.GetRanges() {
			heldSequences.AddRange(r)
		}
		newRecords := seenSequences.FilterNew(response.GetRecords())
		seenSequences.Add(newRecords)
		merged.records = append(merged.records, newRecords...)
		merged.Truncated = merged.Truncated || response.GetTruncated()
	}
	if len(merged.Unreached) == len(addresses) {
		return nil, errors.New("no control instance answered")
	}
	slices.SortStableFunc(merged.records, func(a, b *wire.OutcomeRecord) int { return cmp.Compare(a.GetTimeMs(), b.GetTimeMs()) })
	merged.Groups = recorder.Summarize(merged.records)
	merged.RecordCount = len(merged.records)
	merged.MissingCount = heldSequences.CountMissing()
	return merged, nil
}

func fetchReport(address string, request *wire.ReportRequest) (*wire.ReportResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	client := wireconnect.NewControlServiceClient(listener.NewClient(), "http://"+address)
	response, err := client.Report(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

func (o *Operator) printReport(merged *report) error {
	table := tabwriter.NewWriter(o.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TENANT\tSERVICE\tOUTCOME\tREASON\tCOUNT\tP50 MS\tP99 MS\tP99.9 MS\tLEAST COVERAGE\tMEAN COVERAGE")
	for _, g := range merged.Groups {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.6f\t%.6f\n", orDash(g.Tenant), orDash(g.Service), g.Outcome, orDash(g.Reason),
			g.Count, microsToMillis(g.P50Us), microsToMillis(g.P99Us), microsToMillis(g.P999Us), g.MinCoverage, g.MeanCoverage)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	printSummary(o.stdout, merged)
	return nil
}

// printSummary prints how many records were counted, and which are known or expected to be missing.
func printSummary(out io.Writer, merged *report) {
	fmt.Fprintf(out, "\n%d records; %d more are known to be missing\n", merged.RecordCount, merged.MissingCount)
	if merged.Truncated {
		fmt.Fprintln(out, "not all records were sent; use a shorter time range")
	}
	for _, address := range merged.Unreached {
		fmt.Fprintf(out, "the control instance at %s did not answer; its records are not counted\n", address)
	}
}

func (o *Operator) printTrace(merged *report, asJSON bool) error {
	if len(merged.records) == 0 {
		return fmt.Errorf("no record of this request found; %d records are known to be missing", merged.MissingCount)
	}
	for _, r := range merged.records {
		trace := newRequestTrace(r)
		if asJSON {
			if err := o.printJSON(trace); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(o.stdout, "%s  %s  request %s  tenant %s  service %s\n  %s %s after %.1f ms, index version %d, coverage %.6f\n",
			trace.Time, trace.Instance, trace.RequestID, orDash(trace.Tenant), trace.Service,
			trace.Outcome, trace.Reason, microsToMillis(int64(trace.LatencyUs)), trace.Version, trace.Coverage)
		for _, decision := range trace.Decisions {
			fmt.Fprintf(o.stdout, "  - %s\n", decision)
		}
	}
	return nil
}

func newRequestTrace(r *wire.OutcomeRecord) requestTrace {
	return requestTrace{
		Time:      time.UnixMilli(r.GetTimeMs()).UTC().Format(time.RFC3339Nano),
		Instance:  r.GetInstance(),
		RequestID: r.GetRequestId(),
		Tenant:    r.GetTenant(),
		Service:   r.GetService(),
		Outcome:   r.GetOutcome(),
		Reason:    r.GetReason(),
		Version:   r.GetVersion(),
		Coverage:  float64(r.GetCoverageMillionths()) / wire.FullCoverage,
		LatencyUs: r.GetLatencyUs(),
		Decisions: append([]string{}, r.GetDecisions()...),
	}
}

func microsToMillis(us int64) float64 {
	return float64(us) / float64(time.Millisecond/time.Microsecond)
}

// orDash returns the text, or a dash if it is empty, so that each column of a table has a value.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
