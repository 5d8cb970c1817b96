package listener

import (
	"cmp"
	"time"

	"golang.org/x/sys/unix"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"pimentogate.example/pimentogate/internal/coordination/reclaimer"
	"pimentogate.example/pimentogate/internal/protocol/checker"
)

// The names of listeners in log lines and metrics.
const (
	callersGate   = "callers"
	peersGate     = "peers"
	readinessGate = "readiness"
	metricsGate   = "metrics"
)

const (
	// MaxHeadBytes limits the size of a request line and header where clients are told no limit, in bytes.
	MaxHeadBytes = 64 << 10
	// maxProbeHeadBytes limits those of monitoring.
	maxProbeHeadBytes = 16 << 10
)

// Guards holds the guards of a process: clients leave the memory and connections of the other instances alone.
type Guards struct {
	clients *Guard
	peers   *Guard
	budget  reclaimer.Budget
}

// NewEntryGuards returns the guards of an entry instance.
func NewEntryGuards(r checker.Resources, log logr.Logger, scope tally.Scope) *Guards {
	return newGuards(withDefaults(r, checker.EntryResources()), reclaimer.DivideEntry, log, scope)
}

// NewControlGuards returns the guards of a control instance.
func NewControlGuards(r checker.Resources, log logr.Logger, scope tally.Scope) *Guards {
	return newGuards(withDefaults(r, checker.ControlResources()), reclaimer.DivideControl, log, scope)
}

// withDefaults fills in what settings lack that were not read from a file.
func withDefaults(r, defaults checker.Resources) checker.Resources {
	r.MemoryMB = cmp.Or(r.MemoryMB, defaults.MemoryMB)
	r.OpenFiles = cmp.Or(r.OpenFiles, defaults.OpenFiles)
	r.WriteTimeoutMs = cmp.Or(r.WriteTimeoutMs, defaults.WriteTimeoutMs)
	return r
}

func newGuards(r checker.Resources, divide func(memory, openFiles int64) reclaimer.Budget, log logr.Logger, scope tally.Scope) *Guards {
	budget := divide(r.MemoryMB<<20, min(r.OpenFiles, openFilesLimit()))
	budget.Clients.Connections = cmp.Or(int(r.ClientConnections), budget.Clients.Connections)
	budget.Clients.RequestBytes = cmp.Or(r.ClientMemoryMB<<20, budget.Clients.RequestBytes)
	writeTimeout := time.Duration(r.WriteTimeoutMs) * time.Millisecond
	log.Info("limits of clients", "memory-mb", r.MemoryMB, "connections", budget.Clients.Connections, "request-bytes", budget.Clients.RequestBytes,
		"peer-connections", budget.Peers.Connections, "peer-request-bytes", budget.Peers.RequestBytes, "probe-connections", budget.Probes)
	return &Guards{
		clients: NewGuard(budget.Clients.RequestBytes, writeTimeout, log, scope),
		peers:   NewGuard(budget.Peers.RequestBytes, writeTimeout, log, scope),
		budget:  budget,
	}
}

// openFilesLimit returns the number of descriptors that the system lets the process have.
func openFilesLimit() int64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > 1<<30 {
		return 1 << 30
	}
	return int64(limit.Cur)
}

// Held returns the bytes that the requests of clients hold beyond their allowances.
func (g *Guards) Held() int64 { return g.clients.Held() + g.peers.Held() }

// NewCallersGate returns the gate of the callers, or other ordinary clients. maxHead returns the largest head that they may send, in bytes, or 0 if they are told no limit.
func (g *Guards) NewCallersGate(allowsHTTP2 bool, maxHead func() int) *Gate {
	return g.clients.NewGate(GateOptions{
		Name:           callersGate,
		MaxConnections: g.budget.Clients.Connections,
		AllowsHTTP2:    allowsHTTP2,
		MaxHeadBytes: func() int {
			return cmp.Or(min(maxHead(), MaxHeadBytes), MaxHeadBytes)
		},
	})
}

// NewPeersGate returns the gate of the system's other instances.
func (g *Guards) NewPeersGate(allowsHTTP2 bool) *Gate {
	return g.peers.NewGate(GateOptions{
		Name:           peersGate,
		MaxConnections: g.budget.Peers.Connections,
		AllowsHTTP2:    allowsHTTP2,
		MaxHeadBytes:   func() int { return MaxHeadBytes },
	})
}

// NewReadinessGate returns the gate of a load balancer that asks whether the process is ready.
func (g *Guards) NewReadinessGate() *Gate { return g.newProbeGate(readinessGate) }

// NewMetricsGate returns the gate of monitoring.
func (g *Guards) NewMetricsGate() *Gate { return g.newProbeGate(metricsGate) }

func (g *Guards) newProbeGate(name string) *Gate {
	return g.clients.NewGate(GateOptions{
		Name:           name,
		MaxConnections: g.budget.Probes,
		MaxHeadBytes:   func() int { return maxProbeHeadBytes },
	})
}
