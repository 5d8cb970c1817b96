package forwarder

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
)

const (
	// isolationCheckInterval is the interval at which an isolation is noticed.
	isolationCheckInterval = 50 * time.Millisecond
	// probeInterval is the interval of the health checks by which an isolated instance finds out whether it reaches replicas again.
	probeInterval = 200 * time.Millisecond
	// probeTimeout limits one health check.
	probeTimeout = 200 * time.Millisecond
)

// isolationMonitor tracks whether this instance reaches replicas, and probes them while it reaches none.
type isolationMonitor struct {
	forwarder *Forwarder
	mutex     sync.Mutex
	// begun is closed while the instance is isolated.
	begun    chan struct{}
	isolated bool
	ctx      context.Context
	cancel   context.CancelFunc
	done     chan struct{}
}

func newIsolationMonitor(f *Forwarder) *isolationMonitor {
	m := &isolationMonitor{
		forwarder: f,
		begun:     make(chan struct{}),
		done:      make(chan struct{}),
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m
}

func (m *isolationMonitor) run() {
	defer close(m.done)
	ticker := time.NewTicker(isolationCheckInterval)
	defer ticker.Stop()
	var lastProbe time.Time
	for {
		select {
		case now := <-ticker.C:
			m.check(now)
			if m.isIsolated() && now.Sub(lastProbe) >= probeInterval {
				m.probe()
				lastProbe = time.Now()
			}
		case <-m.ctx.Done():
			return
		}
	}
}

func (m *isolationMonitor) close() {
	m.cancel()
	<-m.done
}

// check updates and logs whether the instance is isolated.
func (m *isolationMonitor) check(now time.Time) {
	f := m.forwarder
	f.mutex.Lock()
	defer f.mutex.Unlock()
	isolated := f.diverter.IsIsolated(now)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if isolated == m.isolated {
		return
	}
	// Answers that were late because of the isolation are no congestion.
	f.policies.Shedder.Reset()
	m.isolated = isolated
	f.log.Info("reachability of replicas changed", "isolated", isolated)
	if isolated {
		close(m.begun)
	} else {
		m.begun = make(chan struct{})
	}
}

func (m *isolationMonitor) isIsolated() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.isolated
}

// signal returns a channel that is closed once the instance is isolated.
func (m *isolationMonitor) signal() <-chan struct{} {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.begun
}

// probe asks a random replica for its health. Any response shows that it is reachable.
func (m *isolationMonitor) probe() {
	f := m.forwarder
	f.mutex.Lock()
	replicas := f.balancer.Replicas()
	f.mutex.Unlock()
	if len(replicas) == 0 {
		return
	}
	replica := replicas[rand.IntN(len(replicas))]
	ctx, cancel := context.WithTimeout(m.ctx, probeTimeout)
	defer cancel()
	if f.exchanger.Probe(ctx, replica.Address, f.healthPath(replica.Service)) == nil {
		f.recordContact()
	}
}

// healthPath returns the path of the health checks of the service's replicas.
func (f *Forwarder) healthPath(service string) string {
	if table := f.routingTable.Load(); table != nil {
		if declared := table.FindService(service); declared != nil && declared.HealthPath != "" {
			return declared.HealthPath
		}
	}
	return "/"
}

// recordSent records that an attempt was sent to the replica for a peer.
func (f *Forwarder) recordSent(replica *balancer.ReplicaState) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.diverter.RecordSent(time.Now(), replica.ID, replica.Latency())
}

// recordContact records that a replica has responded.
func (f *Forwarder) recordContact() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.diverter.RecordContact()
}
