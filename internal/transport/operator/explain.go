package operator

import (
	"context"
	"flag"
	"fmt"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/transport/launcher"
	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

// explainTimeout limits the call to the entry instance.
const explainTimeout = 2 * time.Second

// explanation is what an entry instance would do with a request, as printed.
type explanation struct {
	Route          string           `json:"route"`
	Version        uint64           `json:"version"`
	Refusal        string           `json:"refusal,omitempty"`
	RetryAfterMs   float64          `json:"retry-after-ms,omitempty"`
	ExpectedWorkMs float64          `json:"expected-work-ms"`
	Shards         []explainedShard `json:"shards"`
}

type explainedShard struct {
	Service         string             `json:"service"`
	RetryBudgetLeft float64            `json:"retry-budget-left"`
	Replicas        []explainedReplica `json:"replicas"`
}

type explainedReplica struct {
	Replica         string  `json:"replica"`
	Zone            string  `json:"zone"`
	Chosen          bool    `json:"chosen"`
	ExpectedMs      float64 `json:"expected-ms"`
	WorkMs          float64 `json:"work-ms"`
	WaitMs          float64 `json:"wait-ms"`
	ZoneMs          float64 `json:"zone-ms"`
	RejectionMs     float64 `json:"rejection-ms"`
	SlownessPercent uint32  `json:"slowness-percent"`
	InFlight        uint32  `json:"in-flight"`
	Excluded        string  `json:"excluded,omitempty"`
}

func (o *Operator) runExplain(flags *flag.FlagSet, arguments []string) error {
	entry := flags.String("entry", "127.0.0.1:7340", "address at which an entry instance serves its peers")
	request := &wire.ExplainRequest{}
	flags.StringVar(&request.Method, "method", "GET", "method of the request")
	flags.StringVar(&request.Host, "host", "", "host of the request")
	flags.StringVar(&request.Path, "path", "/", "path of the request")
	flags.StringVar(&request.Organisation, "organisation", "", "name of the organisation that sends the request; empty for none")
	asJSON := flags.Bool("json", false, "print JSON instead of a table")
	if err := launcher.ParseFlags(flags, arguments, 0); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), explainTimeout)
	defer cancel()
	client := wireconnect.NewRelayServiceClient(listener.NewHTTP1Client(1), "http://"+*entry)
	response, err := client.Explain(ctx, connect.NewRequest(request))
	if err != nil {
		return err
	}
	e := newExplanation(response.Msg)
	if *asJSON {
		return o.printJSON(e)
	}
	return o.printExplanation(&e)
}

func newExplanation(response *wire.ExplainResponse) explanation {
	e := explanation{
		Route:          response.GetRoute(),
		Version:        response.GetVersion(),
		Refusal:        response.GetRefusal(),
		RetryAfterMs:   toMilliseconds(response.GetRetryAfterUs()),
		ExpectedWorkMs: toMilliseconds(response.GetExpectedWorkUs()),
		Shards:         []explainedShard{},
	}
	for _, shard := range response.GetShards() {
		explained := explainedShard{
			Service:         shard.GetService(),
			RetryBudgetLeft: shard.GetRetryBudgetLeft(),
			Replicas:        []explainedReplica{},
		}
		for _, r := range shard.GetReplicas() {
			explained.Replicas = append(explained.Replicas, newExplainedReplica(r))
		}
		e.Shards = append(e.Shards, explained)
	}
	return e
}

func newExplainedReplica(r *wire.ExplainedReplica) explainedReplica {
	return explainedReplica{
		Replica:         r.GetReplica(),
		Zone:            r.GetZone(),
		Chosen:          r.GetChosen(),
		ExpectedMs:      toMilliseconds(r.GetExpectedUs()),
		WorkMs:          toMilliseconds(r.GetWorkUs()),
		WaitMs:          toMilliseconds(r.GetWaitUs()),
		ZoneMs:          toMilliseconds(r.GetZoneUs()),
		RejectionMs:     toMilliseconds(r.GetRejectionUs()),
		SlownessPercent: r.GetSlownessPercent(),
		InFlight:        r.GetInFlight(),
		Excluded:        r.GetExcluded(),
	}
}

func toMilliseconds(us uint64) float64 { return float64(us) / 1000 }

func (o *Operator) printExplanation(e *explanation) error {
	fmt.Fprintf(o.stdout, "route %s, configuration %d, expected work %.1f ms\n", e.Route, e.Version, e.ExpectedWorkMs)
	if e.Refusal != "" {
		fmt.Fprintf(o.stdout, "would be refused: %s, retry after %.0f ms\n", e.Refusal, e.RetryAfterMs)
	}
	if len(e.Shards) == 0 {
		return nil
	}
	fmt.Fprintln(o.stdout)
	table := tabwriter.NewWriter(o.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SERVICE\tREPEATS LEFT\tREPLICA\tZONE\tEXPECTED MS\tWORK\tWAIT\tZONE MS\tREJECTIONS\tSLOWNESS\tIN FLIGHT\tCHOICE")
	for _, shard := range e.Shards {
		if len(shard.Replicas) == 0 {
			fmt.Fprintf(table, "%s\t%.0f %%\t-\t\t\t\t\t\t\t\t\tno replica\n", shard.Service, 100*shard.RetryBudgetLeft)
		}
		for _, r := range shard.Replicas {
			fmt.Fprintf(table, "%s\t%.0f %%\t%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%d %%\t%d\t%s\n", shard.Service, 100*shard.RetryBudgetLeft, r.Replica, r.Zone,
				r.ExpectedMs, r.WorkMs, r.WaitMs, r.ZoneMs, r.RejectionMs, r.SlownessPercent, r.InFlight, r.choice())
		}
	}
	return table.Flush()
}

// choice says whether the replica would be chosen, or what excludes it.
func (r *explainedReplica) choice() string {
	switch {
	case r.Excluded != "":
		return "excluded: " + r.Excluded
	case r.Chosen:
		return "chosen"
	default:
		return "-"
	}
}
