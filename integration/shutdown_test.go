package integration

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	readinessPollInterval = 20 * time.Millisecond
	balancerClients       = 6
)

// TestRollingRestart restarts every entry and control instance in turn under load from a load balancer, and requires that no request fails.
func TestRollingRestart(t *testing.T) {
	for _, policy := range []string{"two-choices", "owner"} {
		t.Run(policy, func(t *testing.T) { restartAll(t, policy, (*process).terminate) })
	}
}

// TestRollingRestartAmongHangups guards against a hangup signal that ends an instance at once, before or during its stop, with its requests in flight.
func TestRollingRestartAmongHangups(t *testing.T) {
	restartAll(t, "two-choices", (*process).terminateAmongHangups)
}

// restartAll restarts all instances, each of which stop ends, returning its exit status.
func restartAll(t *testing.T, policy string, stop func(p *process) int) {
	f := newFleet(t, topology{
		policy:   policy,
		controls: 3,
		entries:  4,
		zones:    2,
		shards:   2,
		replicas: 2,
		// Longer than the 200 ms of ShutdownGraceMs in which the balancer has to notice that an entry instance is not ready, so that requests are still in flight after it.
		workMs: 250,
	})
	b := startBalancer(t, f.entries)
	for _, s := range f.standins {
		// A stand-in keeps its settings, and must not end by the signal either.
		must(t, s.cmd.Process.Signal(syscall.SIGHUP))
	}
	for _, e := range f.entries {
		if status := stop(e); status != 0 {
			t.Errorf("%s: exit status %d on shutdown, want 0", e.name, status)
		}
		e.start()
		waitFor(t, readyTimeout, e.name+" is ready", e.isReady)
	}
	leader := f.waitLeader()
	for _, c := range append([]*process{leader}, f.controls...) {
		if status := stop(c); status != 0 {
			t.Errorf("%s: exit status %d on shutdown, want 0", c.name, status)
		}
		c.start()
		f.waitLeader()
	}
	b.close()
	t.Logf("%d queries and %d runs answered, %d runs refused as not-run, %d requests failed", b.answeredQueries.Load(), b.answeredRuns.Load(), b.refusedRuns.Load(), b.failed.Load())
	if b.failed.Load() > 0 || b.answeredQueries.Load() < 20 || b.answeredRuns.Load() < 20 {
		t.Error("a request failed, or fewer than 20 queries or runs were answered")
	}
}

func (p *process) isReady() bool {
	response, err := http.Get("http://" + p.callerAddress + "/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// balancer simulates a load balancer: its clients send requests only to entry instances that report themselves ready.
type balancer struct {
	t               *testing.T
	entries         []*process
	ready           []atomic.Bool
	answeredQueries atomic.Int64
	answeredRuns    atomic.Int64
	refusedRuns     atomic.Int64
	failed          atomic.Int64
	stop            chan struct{}
	clients         sync.WaitGroup
}

func startBalancer(t *testing.T, entries []*process) *balancer {
	t.Helper()
	b := &balancer{
		t:       t,
		entries: entries,
		ready:   make([]atomic.Bool, len(entries)),
		stop:    make(chan struct{}),
	}
	for i := range entries {
		b.ready[i].Store(true)
		b.clients.Go(func() { b.pollReadiness(i) })
	}
	for i := range balancerClients {
		b.clients.Go(func() { b.sendRequests(i) })
	}
	return b
}

// pollReadiness polls the readiness of one entry instance until the balancer is closed.
func (b *balancer) pollReadiness(i int) {
	for !b.isStopped() {
		b.ready[i].Store(b.entries[i].isReady())
		time.Sleep(readinessPollInterval)
	}
}

func (b *balancer) sendRequests(client int) {
	for i := client; !b.isStopped(); i++ {
		if !b.ready[i%len(b.entries)].Load() {
			continue
		}
		e := b.entries[i%len(b.entries)]
		if client%2 == 0 {
			b.query(e)
		} else {
			b.run(e, fmt.Sprintf("roll-%d-%d", client, i))
		}
	}
}

func (b *balancer) query(e *process) {
	answer, status := e.query("roll", 5000)
	if status != http.StatusOK || answer.Coverage != 1 {
		b.t.Logf("%s: query: status %d, %+v", e.name, status, answer)
		b.failed.Add(1)
		return
	}
	b.answeredQueries.Add(1)
}

func (b *balancer) run(e *process, key string) {
	answer, status := e.run(key, time.Now())
	switch {
	case answer.Outcome == "answered":
		b.answeredRuns.Add(1)
	case answer.Outcome == "not-run" && answer.RetryAfterMs > 0:
		b.refusedRuns.Add(1)
	default:
		b.t.Logf("%s: run: status %d, %+v", e.name, status, answer)
		b.failed.Add(1)
	}
}

func (b *balancer) isStopped() bool {
	select {
	case <-b.stop:
		return true
	default:
		return false
	}
}

func (b *balancer) close() {
	close(b.stop)
	b.clients.Wait()
}
