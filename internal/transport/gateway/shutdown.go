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
	// peersWait is how long a configuration from peers alone waits for others that may know of a newer one.
	peersWait = time.Second
	// peersLimit bounds the wait for the calls of peers and upstreams in flight.
	peersLimit = 5 * time.Second
	// startingRetry is when a caller may come back to an instance that has no configuration yet.
	startingRetry = time.Second

	reasonStarting = "starting"
)

// isConfigured reports whether callers may be served: by a configuration that no earlier life of this instance was ahead of.
func (g *Gateway) isConfigured() bool {
	revision := g.revision.Load()
	if revision == 0 || revision < g.floor.Load() {
		return false
	}
	return g.watcher.wasHeard() || time.Since(g.startedAt) >= peersWait
}

// isReady reports whether a balancer may send callers here.
func (g *Gateway) isReady() bool {
	hasLearned := g.learned.Load() || time.Since(g.startedAt) >= peersWait
	return g.isConfigured() && hasLearned && g.sharing.Load() && !g.leaving.Load()
}

// guard refuses callers before there is a configuration, and tells their connections to close while this instance leaves.
func (g *Gateway) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if g.leaving.Load() && request.ProtoMajor == 1 {
			w.Header().Set("Connection", "close")
		}
		if request.Method == http.MethodPost && !g.isConfigured() {
			refuseStarting(w)
			return
		}
		next.ServeHTTP(w, request)
	})
}

func refuseStarting(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(parser.QueryAnswer{
		Outcome:       parser.OutcomeName(wire.Outcome_OUTCOME_NOT_RUN),
		Reason:        reasonStarting,
		MissingShards: []string{},
		RetryAfterMs:  parser.Milliseconds(startingRetry),
		Rows:          []parser.Row{},
	})
}

// Shutdown stops being ready, waits for the balancer to notice, answers every request in flight, and leaves.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.leaving.Store(true)
	g.log.Info("shutdown: not ready")
	select {
	case <-time.After(time.Duration(g.settings.ShutdownGraceMs) * time.Millisecond):
	case <-ctx.Done():
	}
	err := g.callers.Shutdown(ctx)
	g.stopOnce.Do(g.leave)
	<-g.done
	g.log.Info("shutdown: done")
	return err
}

// leave tells the peers, then ends every part, the loop last because the others ask it.
func (g *Gateway) leave() {
	g.concluder.close()
	g.outcomes.Close()
	g.tellLeaving()
	close(g.closing)
	<-g.watcher.done
	<-g.spreader.done
	ctx, cancel := context.WithTimeout(context.Background(), peersLimit)
	defer cancel()
	if err := g.peers.Shutdown(ctx); err != nil {
		g.log.Info("shutdown: calls of peers were cut off", "error", err.Error())
	}
	g.sender.Close()
	g.control.http.CloseIdleConnections()
	g.meter.close()
	close(g.stop)
	<-g.done
	g.decisions.close()
}

// tellLeaving queues a call to every peer, which the spreader makes before it ends.
func (g *Gateway) tellLeaving() {
	var targets []tracker.Member
	_ = g.ask(context.Background(), func(time.Time) {
		g.tracker.Leave()
		targets = g.tracker.Targets(exchangeRing)
	})
	for _, m := range targets {
		g.spreader.pushLast(m.Address)
	}
}
