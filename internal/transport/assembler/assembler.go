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
	// loopbackAnyPort lets the system choose a free port.
	loopbackAnyPort   = "127.0.0.1:0"
	electionTimeoutMs = 300
	// closeTimeout limits the time that Close gives the entry instances to shut down.
	closeTimeout = 5 * time.Second
	// readyPollInterval is the pause between the queries that check readiness.
	readyPollInterval = 20 * time.Millisecond
)

// Config describes the instances of a cluster.
type Config struct {
	Controls int
	Entries  int
	Zones    int
	Services []Service
	// EntrySettings are added to the settings of every entry instance, under their names in the settings file.
	EntrySettings map[string]any
	Log           logr.Logger
}

// Service describes one searchable service and the stand-ins that serve it.
type Service struct {
	Name     string
	Shards   int
	Replicas int
	// Slots is the number of requests that a stand-in processes at the same time.
	Slots uint32
	// Connections is the connection limit that a stand-in announces.
	Connections  uint32
	RowsPerShard int64
	TimeoutMs    uint32
	Seed         uint64
	// Switches returns the switches of a shard's replica; both indices count from 0. It may be nil.
	Switches func(shard, replica int) checker.Switches
}

// Cluster holds the running instances.
type Cluster struct {
	config         Config
	dataFolder     string
	controls       []*controller.Controller
	controlMembers []checker.ControlMember
	entries        []*gateway.Gateway
	standins       map[string][]*responder.Responder
}

// Start starts all instances. On failure it closes those that have started.
func Start(ctx context.Context, config Config) (*Cluster, error) {
	dataFolder, err := os.MkdirTemp("", "pimentogate-assembly-")
	if err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	cl := &Cluster{
		config:     config,
		dataFolder: dataFolder,
		standins:   map[string][]*responder.Responder{},
	}
	if err := cl.start(ctx); err != nil {
		cl.Close()
		return nil, err
	}
	return cl, nil
}

func (cl *Cluster) start(ctx context.Context) error {
	if err := cl.startControls(); err != nil {
		return err
	}
	if err := cl.declareServices(ctx); err != nil {
		return err
	}
	if err := cl.startEntries(); err != nil {
		return err
	}
	return cl.startStandins()
}

// CallerAddresses returns the address at which each entry instance serves callers.
func (cl *Cluster) CallerAddresses() []string {
	var addresses []string
	for _, e := range cl.entries {
		addresses = append(addresses, e.CallersAddress())
	}
	return addresses
}

// Standins returns the stand-ins of a service.
func (cl *Cluster) Standins(service string) []*responder.Responder { return cl.standins[service] }

// Close stops all instances and removes the data folder.
func (cl *Cluster) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	var stopEntries, stopStandins []func(context.Context) error
	for _, e := range cl.entries {
		stopEntries = append(stopEntries, e.Shutdown)
	}
	for _, replicas := range cl.standins {
		for _, r := range replicas {
			stopStandins = append(stopStandins, r.Shutdown)
		}
	}
	shutdownAll(ctx, stopEntries)
	// Once the entry instances have stopped, nothing is in flight, so the stand-ins close at once instead of draining.
	cancel()
	shutdownAll(ctx, stopStandins)
	for _, c := range cl.controls {
		_ = c.Close()
	}
	_ = os.RemoveAll(cl.dataFolder)
}

func (cl *Cluster) zone(i int) string { return fmt.Sprintf("zone-%d", i%max(cl.config.Zones, 1)+1) }

func (cl *Cluster) startControls() error {
	for i := range cl.config.Controls {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		cl.controlMembers = append(cl.controlMembers, checker.ControlMember{
			ID:      fmt.Sprintf("control-%d", i+1),
			Address: address,
		})
	}
	for i, member := range cl.controlMembers {
		if err := cl.startControl(member, cl.zone(i)); err != nil {
			return err
		}
	}
	return nil
}

func (cl *Cluster) startControl(member checker.ControlMember, zone string) error {
	settings := &checker.ControlSettings{
		Instance:          member.ID,
		Zone:              zone,
		Listen:            member.Address,
		DataFolder:        filepath.Join(cl.dataFolder, member.ID),
		Members:           cl.controlMembers,
		ElectionTimeoutMs: electionTimeoutMs,
	}
	if err := storer.Form(settings.DataFolder, settings.Instance, settings.WireMembers()); err != nil {
		return err
	}
	c, err := controller.New(settings, cl.config.Log, tally.NoopScope, nil)
	if err != nil {
		return err
	}
	cl.controls = append(cl.controls, c)
	return nil
}

// ControlAddresses returns the address of each control instance.
func (cl *Cluster) ControlAddresses() []string {
	var addresses []string
	for _, member := range cl.controlMembers {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// declareServices declares each service to the control instances, in a revision of its own.
func (cl *Cluster) declareServices(ctx context.Context) error {
	client := gateway.NewControlClient(cl.ControlAddresses())
	for i, service := range cl.config.Services {
		if err := declareService(ctx, client, service, uint64(i)); err != nil {
			return fmt.Errorf("declare service %s: %w", service.Name, err)
		}
	}
	return nil
}

func declareService(ctx context.Context, control *gateway.ControlClient, service Service, revision uint64) error {
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
		err = fmt.Errorf("change refused: %s", response.GetReason())
	}
	return err
}

func (cl *Cluster) startEntries() error {
	var peerAddresses []string
	for range cl.config.Entries {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		peerAddresses = append(peerAddresses, address)
	}
	for i := range peerAddresses {
		if err := cl.startEntry(i, peerAddresses); err != nil {
			return err
		}
	}
	return nil
}

// startEntry writes and reads a settings file, so that added settings pass the same checks as those of an operator.
func (cl *Cluster) startEntry(i int, peerAddresses []string) error {
	otherPeers := []string{}
	otherPeers = append(otherPeers, peerAddresses[:i]...)
	otherPeers = append(otherPeers, peerAddresses[i+1:]...)
	values := map[string]any{
		"instance":          fmt.Sprintf("entry-%d", i+1),
		"zone":              cl.zone(i),
		"listen-callers":    loopbackAnyPort,
		"listen-peers":      peerAddresses[i],
		"control":           cl.ControlAddresses(),
		"peers":             otherPeers,
		"shutdown-grace-ms": 0,
	}
	maps.Copy(values, cl.config.EntrySettings)
	encoded, err := json.MarshalIndent(values, "", "  ")
	if err != nil {
		return fmt.Errorf("encode settings: %w", err)
	}
	path := filepath.Join(cl.dataFolder, fmt.Sprintf("entry-%d.json", i+1))
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	settings, err := checker.ReadEntry(path)
	if err != nil {
		return err
	}
	e, err := gateway.New(settings, cl.config.Log)
	if err != nil {
		return err
	}
	cl.entries = append(cl.entries, e)
	return nil
}

func (cl *Cluster) startStandins() error {
	for _, service := range cl.config.Services {
		for i := range service.Shards * service.Replicas {
			r, err := cl.startStandin(service, i/service.Replicas, i%service.Replicas)
			if err != nil {
				return err
			}
			cl.standins[service.Name] = append(cl.standins[service.Name], r)
		}
	}
	return nil
}

func (cl *Cluster) startStandin(service Service, shard, replica int) (*responder.Responder, error) {
	var entries []string
	for _, e := range cl.entries {
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
		Zone:         cl.zone(index),
		Listen:       loopbackAnyPort,
		Entries:      entries,
		Service:      service.Name,
		Version:      1,
		Manifest:     manifest,
		Shards:       []string{shardName(shard)},
		Slots:        service.Slots,
		Connections:  service.Connections,
		RowsPerShard: service.RowsPerShard,
		Seed:         service.Seed + uint64(index),
		Switches:     &switches,
	}, cl.config.Log)
}

func (s *Service) shardNames() []string {
	var names []string
	for i := range s.Shards {
		names = append(names, shardName(i))
	}
	return names
}

func shardName(i int) string { return fmt.Sprintf("shard-%d", i+1) }

// WaitReady waits until every entry instance answers a query to every service with the required coverage.
func (cl *Cluster) WaitReady(ctx context.Context) error {
	for _, address := range cl.CallerAddresses() {
		for _, service := range cl.config.Services {
			if err := waitReady(ctx, address, service.Name); err != nil {
				return err
			}
		}
	}
	return nil
}

// waitReady queries a service at one entry instance until the answer meets the required coverage.
func waitReady(ctx context.Context, address, service string) error {
	for {
		answer, err := SendRequest(ctx, http.DefaultClient, address, service, "query", `{"query":"ready","timeout-ms":1000}`)
		if err == nil && answer.CoverageMet {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("service %s at entry instance %s did not reach the required coverage in time: %w", service, address, ctx.Err())
		case <-time.After(readyPollInterval):
		}
	}
}

// freeAddress returns a loopback address with a port that was free when it was checked; another process may take it before it is used.
func freeAddress() (string, error) {
	socket, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", loopbackAnyPort)
	if err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	defer socket.Close()
	return socket.Addr().String(), nil
}
