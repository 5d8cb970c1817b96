package forwarder

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/internal/transport/exchanger"
)

const (
	// isolationCheckInterval is the interval at which a possible isolation is noticed.
	isolationCheckInterval = 50 * time.Millisecond
	// probeInterval is the shortest interval of the health checks by which an instance finds out whether it reaches replicas.
	probeInterval = 200 * time.Millisecond
	// probeTimeout limits one health check.
	probeTimeout = 200 * time.Millisecond
	// probedReplicas is how many replicas are asked at once. One of them may be paused or down.
	probedReplicas = 3
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
			if m.needsProbes(now) && now.Sub(lastProbe) >= probeInterval {
				m.recordProbes(m.probe())
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

// needsProbes reports whether the instance is isolated or may be.
func (m *isolationMonitor) needsProbes(now time.Time) bool {
	f := m.forwarder
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.diverter.IsSuspect(now) || f.diverter.IsIsolated()
}

// recordProbes updates and logs whether the instance is isolated.
func (m *isolationMonitor) recordProbes(responded bool) {
	f := m.forwarder
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.diverter.RecordProbes(responded)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.isolated == !responded {
		return
	}
	m.isolated = !responded
	// Answers that were late because of the isolation are no congestion.
	f.policies.Shedder.Reset()
	f.log.Info("reachability of replicas changed", "isolated", m.isolated)
	if m.isolated {
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

// probe asks random replicas for their health, all at once, and reports whether any has responded.
func (m *isolationMonitor) probe() bool {
	f := m.forwarder
	f.mutex.Lock()
	replicas := f.balancer.Replicas()
	f.mutex.Unlock()
	ctx, cancel := context.WithTimeout(m.ctx, probeTimeout)
	defer cancel()
	rand.Shuffle(len(replicas), func(i, j int) { replicas[i], replicas[j] = replicas[j], replicas[i] })
	replicas = replicas[:min(probedReplicas, len(replicas))]
	results := make(chan error, len(replicas))
	for _, replica := range replicas {
		p := &replicaProbe{
			exchanger: f.exchanger,
			address:   replica.Address,
			path:      f.healthPath(replica.Service),
			result:    results,
		}
		go p.run(ctx)
	}
	for range replicas {
		if <-results == nil {
			return true
		}
	}
	return len(replicas) == 0
}

// replicaProbe is one health check.
type replicaProbe struct {
	exchanger *exchanger.Exchanger
	address   string
	path      string
	result    chan<- error
}

func (p *replicaProbe) run(ctx context.Context) {
	p.result <- p.exchanger.Probe(ctx, p.address, p.path)
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

// recordConnection records that a connection to a replica was opened.
func (f *Forwarder) recordConnection() {
	f.meter.recordConnection()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.diverter.RecordConnection()
}

// recordPath records what an attempt that this instance has sent says about the path to the replica; the mutex must be held.
func (f *Forwarder) recordPath(replica string, outcome *scatterer.Outcome) {
	if outcome.IsResponse() {
		f.diverter.RecordContact()
	}
	if outcome.NoConnection {
		f.diverter.RecordNoConnection(replica)
	}
}
