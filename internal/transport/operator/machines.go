package operator

import (
	"context"
	"flag"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"pimentogate.example/pimentogate/internal/protocol/checker"
	"pimentogate.example/pimentogate/internal/transport/controller"
	"pimentogate.example/pimentogate/internal/transport/forwarder"
	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/internal/transport/logger"
	"pimentogate.example/pimentogate/internal/transport/reporter"
)

// Platform is the adapter to the platform on which the instances run.
type Platform struct {
	Forwarding forwarder.Protocol
	// Control serves the platform's operators and replicas from a control instance.
	Control func(c *controller.Controller, log logr.Logger) http.Handler
}

func (o *Operator) forward(flags *flag.FlagSet, arguments []string) error {
	settings, path, err := readSettings(flags, arguments, "forwarding entry", checker.ReadForwarder)
	if err != nil {
		return err
	}
	log, lines := logger.NewBounded(o.out, settings.LogLevel, logger.DefaultBounds)
	defer lines.Close()
	f, err := forwarder.New(settings, log, o.platform.Forwarding, lines.Dropped)
	if err != nil {
		return err
	}
	w := newWatcher(path, checker.ReadForwarder, f.Reload, log)
	waitForSignal(nil)
	w.close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(settings.GraceMs)*time.Millisecond)
	defer cancel()
	f.Shutdown(ctx)
	return nil
}

// platformControl is what a control instance serves to a platform beside its own interface.
type platformControl struct {
	api     *listener.Server
	metrics *listener.Server
}

// servePlatform starts what the settings name; nil where they name nothing.
func (o *Operator) servePlatform(settings *checker.Control, c *controller.Controller, log logr.Logger, metrics *reporter.Reporter) (*platformControl, error) {
	if settings.Platform == nil {
		return nil, nil
	}
	api, err := listener.New(settings.Platform.Listen, o.platform.Control(c, log))
	if err != nil {
		return nil, err
	}
	p := &platformControl{
		api: api,
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", metrics.Handler())
	p.metrics, err = listener.New(settings.Platform.ListenMetrics, mux)
	if err != nil {
		api.Close()
		return nil, err
	}
	return p, nil
}

// close answers the calls under way, then ends.
func (p *platformControl) close() {
	if p == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), apiDrain)
	defer cancel()
	_ = p.api.Shutdown(ctx)
	p.metrics.Close()
}

// apiDrain bounds the wait for calls of operators and replicas when the instance is told to end.
const apiDrain = 2 * time.Second
