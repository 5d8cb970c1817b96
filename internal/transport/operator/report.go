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

// reportTimeout is how long one control instance may take over its records.
const reportTimeout = 5 * time.Second

// report is what the control instances hold together.
type report struct {
	Lines   []recorder.GroupStats `json:"lines"`
	Records int                   `json:"records"`
	// Missing is how many records are known to be lost, of any time.
	Missing uint64 `json:"missing"`
	// Unreached are the control instances whose records are not in the report.
	Unreached []string `json:"unreached"`
	Truncated bool     `json:"truncated"`

	records []*wire.OutcomeRecord
}

// traceLine is one record of a request, as programs read it.
type traceLine struct {
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

func (o *Operator) report(flags *flag.FlagSet, arguments []string) error {
	control := controlFlag(flags)
	from := flags.String("from", "", "first time of the span, as RFC 3339; the oldest record where empty")
	to := flags.String("to", "", "end of the span, as RFC 3339; now where empty")
	tenant := flags.String("tenant", "", "count this tenant only")
	service := flags.String("service", "", "count this service only")
	request := flags.String("request", "", "trace the request with this id")
	asJSON := flags.Bool("json", false, "print JSON for programs")
	if err := launcher.Parse(flags, arguments, 0); err != nil {
		return err
	}
	ask := &wire.ReportRequest{
		RequestId: *request,
		Tenant:    *tenant,
		Service:   *service,
	}
	var err error
	if ask.FromMs, err = parseTime("from", *from); err != nil {
		return err
	}
	if ask.ToMs, err = parseTime("to", *to); err != nil {
		return err
	}
	found, err := gatherReport(strings.Split(*control, ","), ask)
	if err != nil {
		return err
	}
	switch {
	case *request != "":
		return o.printTrace(found, *asJSON)
	case *asJSON:
		return o.printJSON(found)
	default:
		return o.printReport(found)
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

// gatherReport asks every control instance, and counts a record that several of them hold once.
func gatherReport(addresses []string, ask *wire.ReportRequest) (*report, error) {
	found := &report{
		Unreached: []string{},
	}
	held := recorder.NewSequenceSet()
	seen := recorder.NewSequenceSet()
	for _, address := range addresses {
		response, err := askReport(address, ask)
		if err != nil {
			found.Unreached = append(found.Unreached, address)
			continue
		}
		for _, r := range response.GetRanges() {
			held.AddRange(r)
		}
		fresh := seen.FilterNew(response.GetRecords())
		seen.Add(fresh)
		found.records = append(found.records, fresh...)
		found.Truncated = found.Truncated || response.GetTruncated()
	}
	if len(found.Unreached) == len(addresses) {
		return nil, errors.New("no control instance answered")
	}
	slices.SortStableFunc(found.records, func(a, b *wire.OutcomeRecord) int { return cmp.Compare(a.GetTimeMs(), b.GetTimeMs()) })
	found.Lines = recorder.Summarize(found.records)
	found.Records = len(found.records)
	found.Missing = held.CountMissing()
	return found, nil
}

func askReport(address string, ask *wire.ReportRequest) (*wire.ReportResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	client := wireconnect.NewControlServiceClient(listener.NewClient(), "http://"+address)
	response, err := client.Report(ctx, connect.NewRequest(ask))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

func (o *Operator) printReport(found *report) error {
	table := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TENANT\tSERVICE\tOUTCOME\tREASON\tCOUNT\tP50 MS\tP99 MS\tP99.9 MS\tLEAST COVERAGE\tMEAN COVERAGE")
	for _, l := range found.Lines {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.6f\t%.6f\n", orDash(l.Tenant), orDash(l.Service), l.Outcome, orDash(l.Reason),
			l.Count, milliseconds(l.P50Us), milliseconds(l.P99Us), milliseconds(l.P999Us), l.MinCoverage, l.MeanCoverage)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	printGaps(o.out, found)
	return nil
}

func printGaps(out io.Writer, found *report) {
	fmt.Fprintf(out, "\n%d records; %d more are known to be missing\n", found.Records, found.Missing)
	if found.Truncated {
		fmt.Fprintln(out, "not all records were sent; ask for a shorter span")
	}
	for _, address := range found.Unreached {
		fmt.Fprintf(out, "the control instance at %s did not answer; its records are not counted\n", address)
	}
}

func (o *Operator) printTrace(found *report, asJSON bool) error {
	if len(found.records) == 0 {
		return fmt.Errorf("no record of this request is held; %d records are known to be missing", found.Missing)
	}
	for _, r := range found.records {
		line := traceOf(r)
		if asJSON {
			if err := o.printJSON(line); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(o.out, "%s  %s  request %s  tenant %s  service %s\n  %s %s after %.1f ms, index version %d, coverage %.6f\n",
			line.Time, line.Instance, line.RequestID, orDash(line.Tenant), line.Service,
			line.Outcome, line.Reason, milliseconds(int64(line.LatencyUs)), line.Version, line.Coverage)
		for _, decision := range line.Decisions {
			fmt.Fprintf(o.out, "  - %s\n", decision)
		}
	}
	return nil
}

func traceOf(r *wire.OutcomeRecord) traceLine {
	return traceLine{
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

func milliseconds(us int64) float64 { return float64(us) / float64(time.Millisecond/time.Microsecond) }

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
