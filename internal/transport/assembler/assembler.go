package assembler

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"pimentogate.example/pimentogate/internal/protocol/checker"
	"pimentogate.example/pimentogate/internal/state/cataloger"
	"pimentogate.example/pimentogate/internal/transport/controller"
	"pimentogate.example/pimentogate/internal/transport/gateway"
	"pimentogate.example/pimentogate/internal/transport/responder"
	"pimentogate.example/pimentogate/internal/transport/storer"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

const (
	anyPort           = "127.0.0.1:0"
	electionTimeoutMs = 300
	closeLimit        = 5 * time.Second
	askPause          = 20 * time.Millisecond
)

// Plan is what an assembly consists of.
type Plan struct {
	Controls int
	Entries  int
	Zones    int
	Services []Service
	// EntrySettings are added to the settings of every entry instance, by their names in the file.
	EntrySettings map[string]any
	Log           logr.Logger
}

// Service is one searchable service and the stand-ins that hold it.
type Service struct {
	Name        string
	Shards      int
	Replicas    int
	Slots       uint32
	Connections uint32
	Rows        int64
	TimeoutMs   uint32
	Seed        uint64
	// Switches says how a shard's replica behaves; both count from 0.
	Switches func(shard, replica int) checker.Switches
}

// Assembly is the running instances.
type Assembly struct {
	plan     Plan
	folder   string
	controls []*controller.Controller
	members  []checker.ControlMember
	entries  []*gateway.Gateway
	standins map[string][]*responder.Responder
}

// Start brings everything up; what has started is closed again where it fails.
func Start(ctx context.Context, plan Plan) (*Assembly, error) {
	folder, err := os.MkdirTemp("", "pimentogate-assembly-")
	if err != nil {
		return nil, fmt.Errorf("data folder: %w", err)
	}
	a := &Assembly{
		plan:     plan,
		folder:   folder,
		standins: map[string][]*responder.Responder{},
	}
	if err := a.start(ctx); err != nil {
		a.Close()
		return nil, err
	}
	return a, nil
}

func (a *Assembly) start(ctx context.Context) error {
	if err := a.startControls(); err != nil {
		return err
	}
	if err := a.declareAll(ctx); err != nil {
		return err
	}
	if err := a.startEntries(); err != nil {
		return err
	}
	return a.startStandins()
}

// Callers returns where each entry instance serves callers.
func (a *Assembly) Callers() []string {
	var addresses []string
	for _, e := range a.entries {
		addresses = append(addresses, e.CallersAddress())
	}
	return addresses
}

// Standins returns the stand-ins of a service.
func (a *Assembly) Standins(service string) []*responder.Responder { return a.standins[service] }

// Close ends everything and removes the data folder.
func (a *Assembly) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeLimit)
	defer cancel()
	var entries, standins []func(context.Context) error
	for _, e := range a.entries {
		entries = append(entries, e.Shutdown)
	}
	for _, service := range a.standins {
		for _, r := range service {
			standins = append(standins, r.Leave)
		}
	}
	closeAll(ctx, entries)
	// With the entry instances gone nothing is in flight, and the stand-ins need not wait.
	cancel()
	closeAll(ctx, standins)
	for _, c := range a.controls {
		_ = c.Close()
	}
	_ = os.RemoveAll(a.folder)
}

func (a *Assembly) zone(i int) string { return fmt.Sprintf("zone-%d", i%max(a.plan.Zones, 1)+1) }

func (a *Assembly) startControls() error {
	for i := range a.plan.Controls {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		a.members = append(a.members, checker.ControlMember{
			ID:      fmt.Sprintf("control-%d", i+1),
			Address: address,
		})
	}
	for i, member := range a.members {
		if err := a.startControl(member, a.zone(i)); err != nil {
			return err
		}
	}
	return nil
}

func (a *Assembly) startControl(member checker.ControlMember, zone string) error {
	settings := &checker.ControlSettings{
		Instance:          member.ID,
		Zone:              zone,
		Listen:            member.Address,
		DataFolder:        filepath.Join(a.folder, member.ID),
		Members:           a.members,
		ElectionTimeoutMs: electionTimeoutMs,
	}
	if err := storer.Form(settings.DataFolder, settings.Instance, settings.WireMembers()); err != nil {
		return err
	}
	c, err := controller.New(settings, a.plan.Log, tally.NoopScope)
	if err != nil {
		return err
	}
	a.controls = append(a.controls, c)
	return nil
}

// Controls returns where each control instance is served.
func (a *Assembly) Controls() []string {
	var addresses []string
	for _, member := range a.members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// declareAll puts the services in force, one revision each.
func (a *Assembly) declareAll(ctx context.Context) error {
	client := gateway.NewControlClient(a.Controls())
	for i, service := range a.plan.Services {
		if err := declare(ctx, client, service, uint64(i)); err != nil {
			return fmt.Errorf("declare %s: %w", service.Name, err)
		}
	}
	return nil
}

func declare(ctx context.Context, control *gateway.ControlClient, service Service, revision uint64) error {
	intent := &wire.Intent{
		Change: &wire.Intent_DeclareService{
			DeclareService: &wire.Service{
				Name:               service.Name,
				Shards:             service.shardNames(),
				CoverageMillionths: wire.FullCoverage,
				TimeoutMs:          service.TimeoutMs,
			},
		},
	}
	response, err := gateway.CallLeader(ctx, control, func(ctx context.Context, client wireconnect.ControlServiceClient) (*connect.Response[wire.ConfirmResponse], error) {
		return client.Confirm(ctx, connect.NewRequest(&wire.ConfirmRequest{
			ConfirmId: "declare-" + service.Name,
			Intent:    intent,
			Revision:  revision,
			Digest:    cataloger.Digest(intent, revision),
		}))
	})
	if err == nil && !response.GetAccepted() {
		err = fmt.Errorf("refused: %s", response.GetReason())
	}
	return err
}

func (a *Assembly) startEntries() error {
	var peers []string
	for range a.plan.Entries {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		peers = append(peers, address)
	}
	for i := range peers {
		if err := a.startEntry(i, peers); err != nil {
			return err
		}
	}
	return nil
}

// startEntry goes through a settings file, so that added settings are checked as an operator's are.
func (a *Assembly) startEntry(i int, peers []string) error {
	others := []string{}
	others = append(others, peers[:i]...)
	others = append(others, peers[i+1:]...)
	named := map[string]any{
		"instance":          fmt.Sprintf("entry-%d", i+1),
		"zone":              a.zone(i),
		"listen-callers":    anyPort,
		"listen-peers":      peers[i],
		"control":           a.Controls(),
		"peers":             others,
		"shutdown-grace-ms": 0,
	}
	maps.Copy(named, a.plan.EntrySettings)
	encoded, err := json.MarshalIndent(named, "", "  ")
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	path := filepath.Join(a.folder, fmt.Sprintf("entry-%d.json", i+1))
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	settings, err := checker.ReadEntry(path)
	if err != nil {
		return err
	}
	e, err := gateway.New(settings, a.plan.Log)
	if err != nil {
		return err
	}
	a.entries = append(a.entries, e)
	return nil
}

func (a *Assembly) startStandins() error {
	for _, service := range a.plan.Services {
		for i := range service.Shards * service.Replicas {
			r, err := a.startStandin(service, i/service.Replicas, i%service.Replicas)
			if err != nil {
				return err
			}
			a.standins[service.Name] = append(a.standins[service.Name], r)
		}
	}
	return nil
}

func (a *Assembly) startStandin(service Service, shard, replica int) (*responder.Responder, error) {
	var entries []string
	for _, e := range a.entries {
		entries = append(entries, e.PeersAddress())
	}
	var manifest []checker.Shard
	for _, name := range service.shardNames() {
		manifest = append(manifest, checker.Shard{
			Shard:  name,
			Weight: 1,
		})
	}
	switches := checker.Switches{}
	if service.Switches != nil {
		switches = service.Switches(shard, replica)
	}
	index := shard*service.Replicas + replica
	return responder.New(&checker.StandinSettings{
		Upstream:     fmt.Sprintf("%s-%d-%d", service.Name, shard+1, replica+1),
		Zone:         a.zone(index),
		Listen:       anyPort,
		Entries:      entries,
		Service:      service.Name,
		Version:      1,
		Manifest:     manifest,
		Shards:       []string{shardName(shard)},
		Slots:        service.Slots,
		Connections:  service.Connections,
		RowsPerShard: service.Rows,
		Seed:         service.Seed + uint64(index),
		Switches:     &switches,
	}, a.plan.Log)
}

func (s *Service) shardNames() []string {
	var names []string
	for i := range s.Shards {
		names = append(names, shardName(i))
	}
	return names
}

func shardName(i int) string { return fmt.Sprintf("shard-%d", i+1) }

// WaitWhole waits until every entry instance answers for the whole of every service.
func (a *Assembly) WaitWhole(ctx context.Context) error {
	for _, address := range a.Callers() {
		for _, service := range a.plan.Services {
			if err := waitWhole(ctx, address, service.Name); err != nil {
				return err
			}
		}
	}
	return nil
}

func waitWhole(ctx context.Context, address, service string) error {
	for {
		answer, err := Ask(ctx, http.DefaultClient, address, service, "query", `{"query":"ready","timeout-ms":1000}`)
		if err == nil && answer.CoverageMet {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("service %s at entry instance %s was not answered whole in time: %w", service, address, ctx.Err())
		case <-time.After(askPause):
		}
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
