package loader

import (
	"context"
	"fmt"
	"time"

	"github.com/go-logr/logr"

	"pimentogate.example/pimentogate/internal/transport/assembler"
	"pimentogate.example/pimentogate/internal/transport/responder"
)

const (
	// defaultPolicy is the name under which the routing policy is left out of the entry settings, so that their default applies.
	defaultPolicy = "default"
	readyTimeout  = 30 * time.Second
	policySetting = "routing-policy"
	// defaultPolicies is the default of -policies.
	defaultPolicies = "round-robin,owner"
)

// Comparison compares routing policies under the same load.
type Comparison struct {
	preset     preset
	policies   []string
	entryCount int
	loadShare  float64
	workload   workload
	timeout    time.Duration
	warmUp     time.Duration
	duration   time.Duration
	seed       uint64
	log        logr.Logger
}

// serviceLoad describes the queries to send to one service.
type serviceLoad struct {
	service      string
	shards       int
	perSecond    float64
	timeout      time.Duration
	clientOneWay time.Duration
	seed         uint64
}

// Run measures the policies one after the other with the same seed, and passes the results of each to onResult.
func (c *Comparison) Run(ctx context.Context, onResult func(Result)) error {
	for _, policy := range c.policies {
		results, err := c.measure(ctx, policy)
		if err != nil {
			return fmt.Errorf("policy %s: %w", policy, err)
		}
		for _, result := range results {
			onResult(result)
		}
	}
	return nil
}

// measure starts a cluster with the policy, warms it up, and returns a result for each service.
func (c *Comparison) measure(ctx context.Context, policy string) ([]Result, error) {
	cluster, err := assembler.Start(ctx, c.clusterConfig(policy))
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := cluster.WaitReady(readyCtx); err != nil {
		return nil, err
	}
	c.drive(ctx, cluster, c.warmUp)
	before := c.upstreamRecords(cluster)
	measurers := c.drive(ctx, cluster, c.duration)
	after := c.upstreamRecords(cluster)
	var results []Result
	for i, load := range c.loads() {
		result := Result{
			Policy:           policy,
			Preset:           c.preset.name,
			Service:          load.service,
			Seed:             c.seed,
			LoadShare:        c.loadShare,
			Stragglers:       c.workload.stragglers,
			OfferedPerSecond: load.perSecond,
		}
		measurers[i].fillResult(&result, c.duration)
		fillUpstreamFigures(&result, before[i], after[i])
		results = append(results, result)
	}
	return results, ctx.Err()
}

func (c *Comparison) clusterConfig(policy string) assembler.Config {
	config := assembler.Config{
		Controls:      controlCount,
		Entries:       c.entryCount,
		Zones:         zoneCount,
		EntrySettings: map[string]any{},
		Log:           c.log,
	}
	if policy != defaultPolicy {
		config.EntrySettings[policySetting] = policy
	}
	for i, s := range c.preset.services {
		config.Services = append(config.Services, s.clusterService(c.workload, c.timeout, c.seed+uint64(i)<<16))
	}
	return config
}

// loads returns the load to send to each service, which is loadShare of its capacity.
func (c *Comparison) loads() []serviceLoad {
	var loads []serviceLoad
	for i, s := range c.preset.services {
		loads = append(loads, serviceLoad{
			service:      s.name,
			shards:       s.shards,
			perSecond:    s.queriesPerSecond(c.workload) * c.loadShare,
			timeout:      c.timeout,
			clientOneWay: c.preset.clientOneWay,
			seed:         c.seed + uint64(i),
		})
	}
	return loads
}

// drive sends queries to all services concurrently, and returns a measurer for each service.
func (c *Comparison) drive(ctx context.Context, cluster *assembler.Cluster, duration time.Duration) []*measurer {
	client := newClient()
	defer client.CloseIdleConnections()
	var drivers []*driver
	var measurers []*measurer
	for _, load := range c.loads() {
		m := newMeasurer(load.shards)
		measurers = append(measurers, m)
		drivers = append(drivers, newDriver(client, cluster.CallerAddresses(), load, m))
	}
	runDrivers(ctx, drivers, duration)
	return measurers
}

// runDrivers runs the drivers concurrently and waits for all of them.
func runDrivers(ctx context.Context, drivers []*driver, duration time.Duration) {
	for _, d := range drivers {
		go d.run(ctx, duration)
	}
	for _, d := range drivers {
		<-d.done
	}
}

// upstreamRecords returns the summed record of the stand-ins of each service.
func (c *Comparison) upstreamRecords(cluster *assembler.Cluster) []responder.Record {
	var totals []responder.Record
	for _, s := range c.preset.services {
		var records []responder.Record
		for _, r := range cluster.Standins(s.name) {
			records = append(records, r.Record())
		}
		totals = append(totals, sumRecords(records))
	}
	return totals
}

// sumRecords sums the counters that results need. PeakConnections is the highest of any replica instead of a sum.
func sumRecords(records []responder.Record) responder.Record {
	var total responder.Record
	for _, r := range records {
		total.SearchesStarted += r.SearchesStarted
		total.ConnectionsOpened += r.ConnectionsOpened
		total.PeakConnections = max(total.PeakConnections, r.PeakConnections)
	}
	return total
}

// fillUpstreamFigures sets the figures from the records of the stand-ins. The connection figures count from the start of the stand-ins, not of the measurement.
func fillUpstreamFigures(result *Result, before, after responder.Record) {
	result.SubRequestsStarted = after.SearchesStarted - before.SearchesStarted
	result.UpstreamWork = float64(result.SubRequestsStarted) / float64(max(result.SubRequestsNeeded, 1))
	result.ConnectionsOpened = after.ConnectionsOpened
	result.PeakConnectionsPerReplica = after.PeakConnections
}
