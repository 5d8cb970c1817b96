package gatherer

import (
	"fmt"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/registrar"
	"pimentogate.example/pimentogate/internal/coordination/router"
	"pimentogate.example/pimentogate/pkg/wire"
)

// BenchmarkQuery measures a query in the machine from its start to its answer; ns/sub-request is the cost per shard.
func BenchmarkQuery(b *testing.B) {
	for _, policy := range router.Policies() {
		for _, shards := range []int{8, 64, 270} {
			b.Run(fmt.Sprintf("%s/%d", policy, shards), func(b *testing.B) { benchQuery(b, policy, shards) })
		}
	}
}

func benchQuery(b *testing.B, policy router.Policy, shards int) {
	d := newDriver(b, policy)
	config := &wire.Config{
		Revision: 2,
		Services: []*wire.Service{
			{
				Name: driverService,
			},
		},
	}
	weights := make([]uint64, shards)
	for i := range shards {
		weights[i] = 1
		config.Services[0].Shards = append(config.Services[0].Shards, shardName(i))
	}
	d.machine.Registrar = registrar.New()
	d.machine.Configure(d.now, config)
	d.setVersion(1, weights...)
	for i := range shards {
		d.hold(fmt.Sprintf("a%d", i), 1, i)
		d.hold(fmt.Sprintf("b%d", i), 1, i)
	}
	id := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		d.now = d.now.Add(time.Millisecond)
		runQuery(b, d, id)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(shards), "ns/sub-request")
}

func runQuery(b *testing.B, d *driver, id uint64) {
	d.machine.StartQuery(d.now, Query{
		ID:               id,
		Service:          driverService,
		Limit:            10,
		RequiredCoverage: wire.FullCoverage,
		ArrivedAt:        d.now,
		Deadline:         d.now.Add(100 * time.Millisecond),
	})
	d.machine.Tick(d.now)
	for _, send := range d.machine.TakeActions().Sends {
		d.machine.HandleReply(d.now, send.Request.GetAttempt(), &wire.SearchResponse{
			Attempt:  send.Request.GetAttempt(),
			Shard:    send.Request.GetShard(),
			Version:  send.Request.GetVersion(),
			Complete: true,
		})
	}
	if answers := d.machine.TakeActions().Answers; len(answers) != 1 || answers[0].Coverage != wire.FullCoverage {
		b.Fatalf("answers %+v", answers)
	}
}
