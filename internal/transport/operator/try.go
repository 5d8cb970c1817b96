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
	tryTimeout  = 14 * time.Second
	tryService  = "tenants"
	tryControls = 3
	tryShards   = 4
	tryReplicas = 2
	trySlots    = 2
	tryRows     = 20
	tryWorkMs   = 2
)

// runTry starts a complete cluster in this process and sends it two requests.
func (o *Operator) runTry(flags *flag.FlagSet, arguments []string) error {
	if err := launcher.ParseFlags(flags, arguments, 0); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), tryTimeout)
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
		Log: logger.New(o.stderr, "info"),
	})
	if err != nil {
		return err
	}
	defer cluster.Close()
	if err := cluster.WaitReady(ctx); err != nil {
		return err
	}
	return o.sendRequests(ctx, cluster.CallerAddresses()[0])
}

// sendRequests sends one query and one non-idempotent request, and prints the answers.
func (o *Operator) sendRequests(ctx context.Context, address string) error {
	query := fmt.Sprintf(`{"request-id":"try-query","query":"bakery","limit":5,"timeout-ms":%d}`, time.Second.Milliseconds())
	run := fmt.Sprintf(`{"request-id":"try-run","key":"restore-1","key-time":%q,"body":"restore mailbox","timeout-ms":%d}`,
		time.Now().UTC().Format(time.RFC3339), (2 * time.Second).Milliseconds())
	if err := o.sendRequest(ctx, address, "query", query); err != nil {
		return err
	}
	return o.sendRequest(ctx, address, "run", run)
}

// sendRequest sends one request and prints the answer.
func (o *Operator) sendRequest(ctx context.Context, address, action, body string) error {
	answer, err := assembler.SendRequest(ctx, http.DefaultClient, address, tryService, action, body)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(o.stdout, string(answer.Body))
	return err
}
