package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/protocol/checker"
	"pimentogate.example/pimentogate/internal/state/cataloger"
	"pimentogate.example/pimentogate/internal/transport/controller"
	"pimentogate.example/pimentogate/internal/transport/gateway"
	"pimentogate.example/pimentogate/internal/transport/logger"
	"pimentogate.example/pimentogate/internal/transport/responder"
	"pimentogate.example/pimentogate/internal/transport/storer"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

const (
	tryLimit    = 14 * time.Second
	tryControls = 3
	tryShards   = 4
	tryReplicas = 2
	trySlots    = 2
	tryRows     = 20
	tryPause    = 50 * time.Millisecond
	tryService  = "tenants"
	anyPort     = "127.0.0.1:0"
)

// trial is the whole path in this process.
type trial struct {
	operator *Operator
	folder   string
	controls []*controller.Controller
	entry    *gateway.Gateway
	standins []*responder.Responder
}

func (o *Operator) try(flags *flag.FlagSet, arguments []string) error {
	if err := parse(flags, arguments, 0); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), tryLimit)
	defer cancel()
	folder, err := os.MkdirTemp("", "pimentogate-try-")
	if err != nil {
		return fmt.Errorf("data folder: %w", err)
	}
	defer os.RemoveAll(folder)
	t := &trial{
		operator: o,
		folder:   folder,
	}
	defer t.close()
	if err := t.start(ctx); err != nil {
		return err
	}
	return t.ask(ctx)
}

func (t *trial) start(ctx context.Context) error {
	addresses, err := t.startControls()
	if err != nil {
		return err
	}
	if err := t.declare(ctx, addresses); err != nil {
		return err
	}
	log := logger.New(t.operator.errOut, "info")
	t.entry, err = gateway.New(&checker.Entry{
		Instance:      "entry-1",
		Zone:          "zone-a",
		ListenCallers: anyPort,
		ListenPeers:   anyPort,
		Control:       addresses,
	}, log)
	if err != nil {
		return err
	}
	return t.startStandins()
}

func (t *trial) startControls() ([]string, error) {
	var members []checker.ControlMember
	var addresses []string
	for i := range tryControls {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
		members = append(members, checker.ControlMember{
			ID:      fmt.Sprintf("control-%d", i+1),
			Address: address,
		})
	}
	for i, member := range members {
		settings := &checker.Control{
			Instance:          member.ID,
			Zone:              fmt.Sprintf("zone-%d", i+1),
			Listen:            member.Address,
			DataFolder:        filepath.Join(t.folder, member.ID),
			Members:           members,
			ElectionTimeoutMs: 300,
		}
		if err := storer.Form(settings.DataFolder, settings.Instance, membersOf(settings)); err != nil {
			return nil, err
		}
		c, err := controller.New(settings, logger.New(t.operator.errOut, "info"))
		if err != nil {
			return nil, err
		}
		t.controls = append(t.controls, c)
	}
	return addresses, nil
}

func (t *trial) declare(ctx context.Context, addresses []string) error {
	intent := &wire.Intent{
		Change: &wire.Intent_DeclareService{
			DeclareService: &wire.Service{
				Name:               tryService,
				Shards:             shardNames(),
				CoverageMillionths: wire.CoverageWhole,
				TimeoutMs:          1000,
			},
		},
	}
	_, err := gateway.CallLeader(ctx, gateway.NewControlClient(addresses), func(ctx context.Context, client wireconnect.ControlServiceClient) (*connect.Response[wire.ConfirmResponse], error) {
		return client.Confirm(ctx, connect.NewRequest(&wire.ConfirmRequest{
			ConfirmId: "try",
			Intent:    intent,
			Digest:    cataloger.Digest(intent, 0),
		}))
	})
	return err
}

func (t *trial) startStandins() error {
	var manifest []checker.Shard
	for _, shard := range shardNames() {
		manifest = append(manifest, checker.Shard{
			Shard:  shard,
			Weight: 1,
		})
	}
	for _, shard := range shardNames() {
		for i := range tryReplicas {
			r, err := responder.New(&checker.Standin{
				Upstream:     fmt.Sprintf("%s-replica-%d", shard, i+1),
				Zone:         "zone-a",
				Listen:       anyPort,
				Entries:      []string{t.entry.PeersAddress()},
				Service:      tryService,
				Version:      1,
				Manifest:     manifest,
				Shards:       []string{shard},
				Slots:        trySlots,
				Connections:  25,
				RowsPerShard: tryRows,
				WorkMs:       2,
			}, logger.New(t.operator.errOut, "info"))
			if err != nil {
				return err
			}
			t.standins = append(t.standins, r)
		}
	}
	return nil
}

func shardNames() []string {
	var names []string
	for i := range tryShards {
		names = append(names, fmt.Sprintf("shard-%d", i+1))
	}
	return names
}

// ask waits until a query is answered whole, then prints it and one non-idempotent request.
func (t *trial) ask(ctx context.Context) error {
	query := fmt.Sprintf(`{"request-id":"try-query","query":"bakery","limit":5,"timeout-ms":%d}`, time.Second.Milliseconds())
	for {
		answer, err := t.post(ctx, "query", query)
		if err != nil {
			return err
		}
		if isWhole(answer) {
			fmt.Fprint(t.operator.out, string(answer))
			break
		}
		select {
		case <-ctx.Done():
			return errors.New("the query was not answered whole in time")
		case <-time.After(tryPause):
		}
	}
	run := fmt.Sprintf(`{"request-id":"try-run","key":"restore-1","key-time":%q,"body":"restore mailbox","timeout-ms":%d}`,
		time.Now().UTC().Format(time.RFC3339), (2 * time.Second).Milliseconds())
	answer, err := t.post(ctx, "run", run)
	if err != nil {
		return err
	}
	fmt.Fprint(t.operator.out, string(answer))
	return nil
}

func isWhole(answer []byte) bool {
	var parsed struct {
		Outcome     string `json:"outcome"`
		CoverageMet bool   `json:"coverage-met"`
	}
	if json.Unmarshal(answer, &parsed) != nil {
		return false
	}
	return parsed.Outcome == "answered" && parsed.CoverageMet
}

func (t *trial) post(ctx context.Context, action, body string) ([]byte, error) {
	url := fmt.Sprintf("http://%s/v1/services/%s/%s", t.entry.CallersAddress(), tryService, action)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(body))
	if err != nil {
		return nil, fmt.Errorf("ask: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("ask: %w", err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return append(answer, '\n'), err
}

func (t *trial) close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, r := range t.standins {
		_ = r.Leave(ctx)
	}
	if t.entry != nil {
		_ = t.entry.Shutdown(ctx)
	}
	for _, c := range t.controls {
		_ = c.Close()
	}
}

// freeAddress returns a loopback address whose port was free a moment ago.
func freeAddress() (string, error) {
	socket, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", anyPort)
	if err != nil {
		return "", fmt.Errorf("free port: %w", err)
	}
	defer socket.Close()
	return socket.Addr().String(), nil
}
