package integration

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	balancerPeriod = 20 * time.Millisecond
	clients        = 6
)

// TestRollingRestart restarts every entry and control instance in turn under load that comes through a balancer, and counts the requests that were cut off.
func TestRollingRestart(t *testing.T) {
	for _, policy := range []string{"two-choices", "owner"} {
		t.Run(policy, func(t *testing.T) { restartAll(t, policy) })
	}
}

func restartAll(t *testing.T, policy string) {
	f := newFleet(t, plan{
		policy:   policy,
		controls: 3,
		entries:  4,
		zones:    2,
		shards:   2,
		replicas: 2,
		// Requests are in flight longer than the balancer has to notice.
		workMs: 250,
	})
	b := startBalancer(t, f.entries)
	for _, e := range f.entries {
		if status := e.terminate(); status != 0 {
			t.Errorf("%s ended with status %d", e.name, status)
		}
		e.start()
		waitFor(t, readyLimit, e.name+" is ready", e.isReady)
	}
	leader := f.leader()
	for _, c := range append([]*process{leader}, f.controls...) {
		if status := c.terminate(); status != 0 {
			t.Errorf("%s ended with status %d", c.name, status)
		}
		c.start()
		f.leader()
	}
	b.close()
	t.Logf("%d queries and %d runs answered, %d runs refused as not-run, %d requests cut off", b.queries.Load(), b.runs.Load(), b.refused.Load(), b.cutOff.Load())
	if b.cutOff.Load() > 0 || b.queries.Load() < 20 || b.runs.Load() < 20 {
		t.Error("not every request was answered in full")
	}
}

func (p *process) isReady() bool {
	response, err := http.Get("http://" + p.callers + "/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// balancer sends requests to the entry instances that say they are ready.
type balancer struct {
	t       *testing.T
	entries []*process
	ready   []atomic.Bool
	queries atomic.Int64
	runs    atomic.Int64
	refused atomic.Int64
	cutOff  atomic.Int64
	stop    chan struct{}
	done    sync.WaitGroup
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
		b.done.Go(func() { b.loop(i) })
	}
	for i := range clients {
		b.done.Go(func() { b.run(i) })
	}
	return b
}

// loop asks one entry instance whether it is ready.
func (b *balancer) loop(i int) {
	for !b.isStopped() {
		b.ready[i].Store(b.entries[i].isReady())
		time.Sleep(balancerPeriod)
	}
}

func (b *balancer) run(client int) {
	for i := client; !b.isStopped(); i++ {
		if !b.ready[i%len(b.entries)].Load() {
			continue
		}
		e := b.entries[i%len(b.entries)]
		if client%2 == 0 {
			b.query(e)
		} else {
			b.runOnce(e, fmt.Sprintf("roll-%d-%d", client, i))
		}
	}
}

func (b *balancer) query(e *process) {
	answer, status := e.query("roll", 5000)
	if status != http.StatusOK || answer.Coverage != 1 {
		b.t.Logf("%s: query: status %d, %+v", e.name, status, answer)
		b.cutOff.Add(1)
		return
	}
	b.queries.Add(1)
}

func (b *balancer) runOnce(e *process, key string) {
	answer, status := e.run(key, time.Now())
	switch {
	case answer.Outcome == "answered":
		b.runs.Add(1)
	case answer.Outcome == "not-run" && answer.RetryAfterMs > 0:
		b.refused.Add(1)
	default:
		b.t.Logf("%s: run: status %d, %+v", e.name, status, answer)
		b.cutOff.Add(1)
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
	b.done.Wait()
}
