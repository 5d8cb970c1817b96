package launcher

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"pimentogate.example/pimentogate/internal/protocol/checker"
	"pimentogate.example/pimentogate/internal/transport/controller"
	"pimentogate.example/pimentogate/internal/transport/forwarder"
	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/internal/transport/logger"
	"pimentogate.example/pimentogate/internal/transport/reporter"
)

// apiDrain bounds the wait for calls of operators and replicas when a control instance is told to end.
const apiDrain = 2 * time.Second

// endMargin is how long before its grace is over an entry instance cuts off what is still in flight, so as to end by itself.
const endMargin = 300 * time.Millisecond

// Platform is the adapter to the platform on which the instances run.
type Platform struct {
	Forwarding forwarder.Protocol
	// Control serves the platform's operators and replicas from a control instance.
	Control func(c *controller.Controller, log logr.Logger) http.Handler
}

// Launcher runs one instance.
type Launcher struct {
	out      io.Writer
	errOut   io.Writer
	platform Platform
}

// New returns a launcher whose instances write their logs on out where a platform runs them, else on errOut.
func New(out, errOut io.Writer, platform Platform) *Launcher {
	return &Launcher{
		out:      out,
		errOut:   errOut,
		platform: platform,
	}
}

// Run runs the instance of a command line, ROLE -settings FILE, and returns the exit status.
func (l *Launcher) Run(arguments []string) int {
	err := l.dispatch(arguments)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(l.errOut, "pimentogate-machine:", err)
	}
	return Status(err)
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
		return l.Entry(flags, arguments[1:])
	case "control":
		return l.Control(flags, arguments[1:])
	default:
		return &UsageError{
			Reason: fmt.Sprintf("role %q is not known; usage: pimentogate-machine entry|control -settings FILE", role),
		}
	}
}

// Entry runs a forwarding entry instance until it is told to end.
func (l *Launcher) Entry(flags *flag.FlagSet, arguments []string) error {
	settings, path, err := ReadSettings(flags, arguments, "forwarding entry", checker.ReadForwarder)
	if err != nil {
		return err
	}
	log, lines := logger.NewBounded(l.out, settings.LogLevel, logger.DefaultBounds)
	defer lines.Close()
	f, err := forwarder.New(settings, log, l.platform.Forwarding, lines.DroppedLines)
	if err != nil {
		return err
	}
	w := newWatcher(path, checker.ReadForwarder, f.Reload, log)
	WaitForSignal(nil)
	w.close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(settings.GraceMs)*time.Millisecond-endMargin)
	defer cancel()
	f.Shutdown(ctx)
	return nil
}

// Control runs a control instance until it is told to end or stops by itself.
func (l *Launcher) Control(flags *flag.FlagSet, arguments []string) error {
	settings, path, err := ReadSettings(flags, arguments, "control", checker.ReadControl)
	if err != nil {
		return err
	}
	out := l.errOut
	if settings.Platform != nil {
		out = l.out
	}
	if settings.Platform != nil && l.platform.Control == nil {
		return &UsageError{
			Reason: fmt.Sprintf("settings file %q: platform: this program serves no platform; use pimentogate-machine", path),
		}
	}
	log, lines := logger.NewBounded(out, settings.LogLevel, logger.DefaultBounds)
	defer lines.Close()
	metrics := reporter.New()
	defer metrics.Close()
	c, err := controller.New(settings, log, metrics.Scope)
	if err != nil {
		return err
	}
	served, err := l.servePlatform(settings, c, log, metrics)
	if err != nil {
		return errors.Join(err, c.Close())
	}
	w := newWatcher(path, checker.ReadControl, c.Reload, log)
	WaitForSignal(c.Done())
	w.close()
	served.close()
	return c.Close()
}

// platformControl is what a control instance serves to a platform beside its own interface.
type platformControl struct {
	api     *listener.Server
	metrics *listener.Server
}

// servePlatform starts what the settings name; nil where they name nothing.
func (l *Launcher) servePlatform(settings *checker.ControlSettings, c *controller.Controller, log logr.Logger, metrics *reporter.Reporter) (*platformControl, error) {
	if settings.Platform == nil {
		return nil, nil
	}
	api, err := listener.New(settings.Platform.Listen, l.platform.Control(c, log))
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
	// Calls that are cut off here are made again, to another control instance.
	_ = p.api.Shutdown(ctx)
	p.metrics.Close()
}

// WaitForSignal returns when the process is told to stop, or when the instance has stopped by itself.
func WaitForSignal(stopped <-chan struct{}) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-stopped:
	}
}
