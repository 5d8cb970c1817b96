package operator

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"time"

	"pimentogate.example/pimentogate/internal/protocol/checker"
	"pimentogate.example/pimentogate/internal/transport/assembler"
	"pimentogate.example/pimentogate/internal/transport/launcher"
	"pimentogate.example/pimentogate/internal/transport/logger"
)

const (
	tryLimit    = 14 * time.Second
	tryService  = "tenants"
	tryControls = 3
	tryShards   = 4
	tryReplicas = 2
	trySlots    = 2
	tryRows     = 20
	tryWorkMs   = 2
)

// try brings the whole path up in this process and asks it twice.
func (o *Operator) try(flags *flag.FlagSet, arguments []string) error {
	if err := launcher.Parse(flags, arguments, 0); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), tryLimit)
	defer cancel()
	cluster, err := assembler.Start(ctx, assembler.Config{
		Controls: tryControls,
		Entries:  1,
		Zones:    1,
		Services: []assembler.Service{{
			Name:         tryService,
			Shards:       tryShards,
			Replicas:     tryReplicas,
			Slots:        trySlots,
			Connections:  25,
			RowsPerShard: tryRows,
			TimeoutMs:    1000,
			Switches: func(int, int) checker.Switches {
				return checker.Switches{
					WorkMs: tryWorkMs,
				}
			},
		}},
		Log: logger.New(o.errOut, "info"),
	})
	if err != nil {
		return err
	}
	defer cluster.Close()
	if err := cluster.WaitReady(ctx); err != nil {
		return err
	}
	return o.askTwice(ctx, cluster.CallerAddresses()[0])
}

// askTwice prints the answers to one query and one non-idempotent request.
func (o *Operator) askTwice(ctx context.Context, address string) error {
	query := fmt.Sprintf(`{"request-id":"try-query","query":"bakery","limit":5,"timeout-ms":%d}`, time.Second.Milliseconds())
	run := fmt.Sprintf(`{"request-id":"try-run","key":"restore-1","key-time":%q,"body":"restore mailbox","timeout-ms":%d}`,
		time.Now().UTC().Format(time.RFC3339), (2 * time.Second).Milliseconds())
	if err := o.ask(ctx, address, "query", query); err != nil {
		return err
	}
	return o.ask(ctx, address, "run", run)
}

func (o *Operator) ask(ctx context.Context, address, action, body string) error {
	answer, err := assembler.SendRequest(ctx, http.DefaultClient, address, tryService, action, body)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(o.out, string(answer.Body))
	return err
}
