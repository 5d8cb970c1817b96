package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/tracker"
	"pimentogate.example/pimentogate/internal/protocol/parser"
	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// peerSyncWait is how long after its start an instance waits for a control instance before it uses a configuration
	// from peers, which may not be the newest, and for a completed repair before it becomes ready.
	peerSyncWait = time.Second
	// peerDrainTimeout bounds the wait for calls in flight from peers and upstreams.
	peerDrainTimeout = 5 * time.Second
	// startingRetryAfter is how long a caller is told to wait before a retry if the instance has no configuration yet.
	startingRetryAfter = time.Second

	reasonStarting = "starting"
)

// isConfigured reports whether callers may be served: there is a configuration, no earlier incarnation of this instance
// is known to have used a newer one, and it has been in contact with a control instance or peerSyncWait has passed.
func (g *Gateway) isConfigured() bool {
	revision := g.revision.Load()
	if revision == 0 || revision < g.revisionFloor.Load() {
		return false
	}
	return g.watcher.hasHadContact() || time.Since(g.startedAt) >= peerSyncWait
}

// isReady reports whether a load balancer may send requests to this instance.
func (g *Gateway) isReady() bool {
	hasPeerState := g.hasSyncedWithPeer.Load() || time.Since(g.startedAt) >= peerSyncWait
	return g.isConfigured() && hasPeerState && g.mayOpenConnections.Load() && !g.isShuttingDown.Load()
}

// guardCallers rejects callers' requests until there is a configuration, and asks HTTP/1 clients to close their
// connections during a shutdown.
func (g *Gateway) guardCallers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if g.isShuttingDown.Load() && request.ProtoMajor == 1 {
			w.Header().Set("Connection", "close")
		}
		if request.Method == http.MethodPost && !g.isConfigured() {
			rejectStarting(w)
			return
		}
		next.ServeHTTP(w, request)
	})
}

func rejectStarting(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(parser.QueryAnswer{
		Outcome:       parser.OutcomeName(wire.Outcome_OUTCOME_NOT_RUN),
		Reason:        reasonStarting,
		MissingShards: []string{},
		RetryAfterMs:  parser.CeilMilliseconds(startingRetryAfter),
		Rows:          []parser.Row{},
	})
}

// Shutdown marks the instance as not ready, waits for the grace period so that the load balancer can notice, drains the
// callers' requests in flight until ctx ends, and stops the instance.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.isShuttingDown.Store(true)
	g.log.Info("shutdown: not ready")
	select {
	case <-time.After(time.Duration(g.settings.ShutdownGraceMs) * time.Millisecond):
	case <-ctx.Done():
	}
	err := g.callers.Shutdown(ctx)
	g.stopOnce.Do(g.stopComponents)
	<-g.loopDone
	g.log.Info("shutdown: done")
	return err
}

// stopComponents flushes the recorded outcomes, announces the departure to the peers and stops all components. The event
// loop stops after the components that run events in it; the decision log, which the loop feeds, stops last.
func (g *Gateway) stopComponents() {
	g.runRecorder.close()
	g.outcomes.Close()
	g.enqueueLeave()
	close(g.stopBackground)
	<-g.watcher.done
	<-g.gossiper.done
	ctx, cancel := context.WithTimeout(context.Background(), peerDrainTimeout)
	defer cancel()
	if err := g.peers.Shutdown(ctx); err != nil {
		g.log.Info("shutdown: peer calls cut off", "error", err.Error())
	}
	g.sender.Close()
	g.control.http.CloseIdleConnections()
	g.meter.close()
	close(g.stopLoop)
	<-g.loopDone
	g.decisions.close()
}

// enqueueLeave queues a call that announces the departure to each of at most exchangeQueueSize peers. The gossiper makes
// the queued calls before it stops.
func (g *Gateway) enqueueLeave() {
	var targets []tracker.Member
	_ = g.runInLoop(context.Background(), func(time.Time) {
		g.tracker.Leave()
		targets = g.tracker.Targets(exchangeQueueSize)
	})
	for _, m := range targets {
		g.gossiper.enqueueFinal(m.Address)
	}
}
