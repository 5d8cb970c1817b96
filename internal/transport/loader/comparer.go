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
	// defaultPolicy leaves the entry instances' setting as it is.
	defaultPolicy = "default"
	wholeLimit    = 30 * time.Second
	policySetting = "routing-policy"
	// defaultPolicies are compared where none are named.
	defaultPolicies = "round-robin,owner"
)

// Comparison is what to compare, and under which load.
type Comparison struct {
	preset   preset
	policies []string
	entries  int
	share    float64
	work     work
	timeout  time.Duration
	warmUp   time.Duration
	length   time.Duration
	seed     uint64
	log      logr.Logger
}

// serviceLoad is the queries for one service.
type serviceLoad struct {
	service      string
	shards       int
	perSecond    float64
	timeout      time.Duration
	clientOneWay time.Duration
	seed         uint64
}

// Run measures one policy after the other on the same seed, and hands over each result as it comes.
func (c *Comparison) Run(ctx context.Context, take func(Result)) error {
	for _, policy := range c.policies {
		results, err := c.measure(ctx, policy)
		if err != nil {
			return fmt.Errorf("policy %s: %w", policy, err)
		}
		for _, result := range results {
			take(result)
		}
	}
	return nil
}

func (c *Comparison) measure(ctx context.Context, policy string) ([]Result, error) {
	assembly, err := assembler.Start(ctx, c.plan(policy))
	if err != nil {
		return nil, err
	}
	defer assembly.Close()
	wait, cancel := context.WithTimeout(ctx, wholeLimit)
	defer cancel()
	if err := assembly.WaitWhole(wait); err != nil {
		return nil, err
	}
	c.drive(ctx, assembly, c.warmUp)
	before := c.upstreams(assembly)
	measurers := c.drive(ctx, assembly, c.length)
	after := c.upstreams(assembly)
	var results []Result
	for i, load := range c.loads() {
		result := Result{
			Policy:           policy,
			Preset:           c.preset.name,
			Service:          load.service,
			Seed:             c.seed,
			LoadShare:        c.share,
			Stragglers:       c.work.stragglers,
			OfferedPerSecond: load.perSecond,
		}
		measurers[i].fill(&result, c.length)
		fillUpstreams(&result, before[i], after[i])
		results = append(results, result)
	}
	return results, ctx.Err()
}

func (c *Comparison) plan(policy string) assembler.Plan {
	plan := assembler.Plan{
		Controls:      loadControls,
		Entries:       c.entries,
		Zones:         loadZones,
		EntrySettings: map[string]any{},
		Log:           c.log,
	}
	if policy != defaultPolicy {
		plan.EntrySettings[policySetting] = policy
	}
	for i, s := range c.preset.services {
		plan.Services = append(plan.Services, s.assembly(c.work, c.timeout, c.seed+uint64(i)<<16))
	}
	return plan
}

func (c *Comparison) loads() []serviceLoad {
	var loads []serviceLoad
	for i, s := range c.preset.services {
		loads = append(loads, serviceLoad{
			service:      s.name,
			shards:       s.shards,
			perSecond:    s.capacity(c.work) * c.share,
			timeout:      c.timeout,
			clientOneWay: c.preset.clientOneWay,
			seed:         c.seed + uint64(i),
		})
	}
	return loads
}

// drive sends to every service at once, and returns what was measured for each.
func (c *Comparison) drive(ctx context.Context, assembly *assembler.Assembly, length time.Duration) []*measurer {
	client := newClient()
	defer client.CloseIdleConnections()
	var drivers []*driver
	var measurers []*measurer
	for _, load := range c.loads() {
		m := newMeasurer(load.shards)
		measurers = append(measurers, m)
		drivers = append(drivers, newDriver(client, assembly.Callers(), load, m))
	}
	runAll(ctx, drivers, length)
	return measurers
}

func runAll(ctx context.Context, drivers []*driver, length time.Duration) {
	for _, d := range drivers {
		go d.run(ctx, length)
	}
	for _, d := range drivers {
		<-d.done
	}
}

// upstreams adds up the records of each service's stand-ins.
func (c *Comparison) upstreams(assembly *assembler.Assembly) []responder.Record {
	var sums []responder.Record
	for _, s := range c.preset.services {
		var records []responder.Record
		for _, r := range assembly.Standins(s.name) {
			records = append(records, r.Record())
		}
		sums = append(sums, sum(records))
	}
	return sums
}

// sum adds records up; the most connections are those of one replica.
func sum(records []responder.Record) responder.Record {
	var total responder.Record
	for _, r := range records {
		total.Searches += r.Searches
		total.OpenedConnections += r.OpenedConnections
		total.MostConnections = max(total.MostConnections, r.MostConnections)
	}
	return total
}

func fillUpstreams(result *Result, before, after responder.Record) {
	result.SubRequests = after.Searches - before.Searches
	result.WorkPerAnswer = float64(result.SubRequests) / float64(max(result.Needed, 1))
	result.Opened = after.OpenedConnections
	result.MostConnections = after.MostConnections
}
