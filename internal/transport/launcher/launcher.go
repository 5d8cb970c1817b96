package launcher

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
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

// drainTimeout limits how long the shutdown of a control instance waits for calls of operators and replicas.
const drainTimeout = 2 * time.Second

// shutdownMargin is how long before the end of its grace period an entry instance aborts the requests still
// in flight, so that it exits before the platform kills it.
const shutdownMargin = 300 * time.Millisecond

// Platform adapts the instances to the platform on which they run.
type Platform struct {
	// Forwarding is the protocol of the entry instances.
	Forwarding forwarder.Protocol
	// Control returns the handler with which a control instance serves the operators and replicas of the
	// platform. It is nil in a program without platform support.
	Control func(c *controller.Controller, log logr.Logger) http.Handler
	// ListServices returns the names of the services of a configuration; nil in a program without platform support.
	ListServices controller.ServiceLister
}

// Launcher runs one instance.
type Launcher struct {
	out      io.Writer
	errOut   io.Writer
	platform Platform
}

// New returns a launcher. Entry instances and control instances with platform settings log to out, other
// control instances to errOut.
func New(out, errOut io.Writer, platform Platform) *Launcher {
	return &Launcher{
		out:      out,
		errOut:   errOut,
		platform: platform,
	}
}

// Run parses a command line of the form ROLE -settings FILE, runs the instance and returns the exit status.
func (l *Launcher) Run(arguments []string) int {
	err := l.dispatch(arguments)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(l.errOut, "pimentogate-machine:", err)
	}
	return ExitStatus(err)
}

func (l *Launcher) dispatch(arguments []string) error {
	role := ""
	if len(arguments) > 0 {
		role = arguments[0]
	}
	flags := flag.NewFlagSet(role, flag.ContinueOnError)
	flags.SetOutput(l.errOut)
	switch role {
	case "entry":
		return l.RunEntry(flags, arguments[1:])
	case "control":
		return l.RunControl(flags, arguments[1:])
	default:
		return &UsageError{
			Reason: fmt.Sprintf("unknown role %q; usage: pimentogate-machine entry|control -settings FILE", role),
		}
	}
}

// RunEntry runs a forwarding entry instance until the process receives SIGTERM or SIGINT.
func (l *Launcher) RunEntry(flags *flag.FlagSet, arguments []string) error {
	signals := NewSignals()
	w := newWatcher(checker.ReadForwarder, signals.hangups)
	settings, _, err := ReadSettings(flags, arguments, "forwarding entry", w.read)
	if err != nil {
		return err
	}
	log, boundedLog := logger.NewBounded(l.out, settings.LogLevel, logger.DefaultBounds)
	defer boundedLog.Close()
	f, err := forwarder.New(settings, log, l.platform.Forwarding, boundedLog.DroppedLines)
	if err != nil {
		return err
	}
	g := newGarbageCollector(f.InFlight, settings.Resources.MemoryMB)
	w.start(f.Reload, log)
	// Settings are reloaded until the instance has stopped, since callers are served until then.
	defer w.close()
	signals.WaitForStop(nil)
	g.close()
	ctx, cancel := context.WithTimeout(context.Background(), f.GracePeriod()-shutdownMargin)
	defer cancel()
	f.Shutdown(ctx)
	return nil
}

// RunControl runs a control instance until the process receives SIGTERM or SIGINT, or the instance stops by
// itself.
func (l *Launcher) RunControl(flags *flag.FlagSet, arguments []string) error {
	signals := NewSignals()
	w := newWatcher(checker.ReadControl, signals.hangups)
	settings, path, err := ReadSettings(flags, arguments, "control", w.read)
	if err != nil {
		return err
	}
	out := l.errOut
	if settings.Platform != nil {
		out = l.out
	}
	if settings.Platform != nil && l.platform.Control == nil {
		return &UsageError{
			Reason: fmt.Sprintf("settings file %q: platform: this program has no platform support; use pimentogate-machine", path),
		}
	}
	LimitMemory(settings.Resources.MemoryMB)
	log, boundedLog := logger.NewBounded(out, settings.LogLevel, logger.DefaultBounds)
	defer boundedLog.Close()
	metrics := reporter.New()
	defer metrics.Close()
	c, err := controller.New(settings, log, metrics.Scope, l.platform.ListServices)
	if err != nil {
		return err
	}
	servers, err := l.startPlatformServers(settings, c, log, metrics)
	if err != nil {
		return errors.Join(err, c.Close())
	}
	w.start(c.Reload, log)
	defer w.close()
	signals.WaitForStop(c.Done())
	servers.close()
	return c.Close()
}

// platformServers are the additional servers of a control instance that a platform runs.
type platformServers struct {
	api     *listener.Server
	metrics *listener.Server
}

// startPlatformServers starts the servers of the platform settings. It returns nil if there are no such
// settings.
func (l *Launcher) startPlatformServers(settings *checker.ControlSettings, c *controller.Controller, log logr.Logger, metrics *reporter.Reporter) (*platformServers, error) {
	if settings.Platform == nil {
		return nil, nil
	}
	api, err := c.Guards().NewCallersGate(false, func() int { return 0 }).NewServer(settings.Platform.Listen, l.platform.Control(c, log))
	if err != nil {
		return nil, err
	}
	p := &platformServers{
		api: api,
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", metrics.Handler())
	p.metrics, err = c.Guards().NewMetricsGate().NewServer(settings.Platform.ListenMetrics, mux)
	if err != nil {
		api.Close()
		return nil, err
	}
	return p, nil
}

// close waits for the API calls in flight, for drainTimeout at most, and stops both servers.
func (p *platformServers) close() {
	if p == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	// The clients retry aborted calls at another control instance.
	_ = p.api.Shutdown(ctx)
	p.metrics.Close()
}
