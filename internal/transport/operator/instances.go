package operator

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"pimentogate.example/pimentogate/internal/protocol/checker"
	"pimentogate.example/pimentogate/internal/transport/controller"
	"pimentogate.example/pimentogate/internal/transport/gateway"
	"pimentogate.example/pimentogate/internal/transport/logger"
	"pimentogate.example/pimentogate/internal/transport/reporter"
	"pimentogate.example/pimentogate/internal/transport/storer"
)

// shutdownLimit bounds how long requests in flight are waited for; callers' deadlines are shorter.
const shutdownLimit = 2 * time.Minute

func (o *Operator) form(flags *flag.FlagSet, arguments []string) error {
	settings, _, err := readSettings(flags, arguments, "control", checker.ReadControl)
	if err != nil {
		return err
	}
	return storer.Form(settings.DataFolder, settings.Instance, settings.WireMembers())
}

func (o *Operator) control(flags *flag.FlagSet, arguments []string) error {
	settings, path, err := readSettings(flags, arguments, "control", checker.ReadControl)
	if err != nil {
		return err
	}
	log, lines := o.controlLog(settings)
	defer lines.Close()
	metrics := reporter.New()
	defer metrics.Close()
	c, err := controller.New(settings, log, metrics.Scope)
	if err != nil {
		return err
	}
	served, err := o.servePlatform(settings, c, log, metrics)
	if err != nil {
		return errors.Join(err, c.Close())
	}
	w := newWatcher(path, checker.ReadControl, c.Reload, log)
	waitForSignal(c.Done())
	w.close()
	served.close()
	return c.Close()
}

// controlLog returns the log of a control instance: on standard output where a platform runs it.
func (o *Operator) controlLog(settings *checker.Control) (logr.Logger, *logger.Bounded) {
	if settings.Platform == nil {
		return logger.NewBounded(o.errOut, settings.LogLevel, logger.DefaultBounds)
	}
	return logger.NewBounded(o.out, settings.LogLevel, logger.DefaultBounds)
}

func (o *Operator) entry(flags *flag.FlagSet, arguments []string) error {
	settings, _, err := readSettings(flags, arguments, "entry", checker.ReadEntry)
	if err != nil {
		return err
	}
	g, err := gateway.New(settings, logger.New(o.errOut, settings.LogLevel))
	if err != nil {
		return err
	}
	waitForSignal(nil)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownLimit)
	defer cancel()
	return g.Shutdown(ctx)
}

func (o *Operator) check(flags *flag.FlagSet, arguments []string) error {
	kind := flags.String("kind", "entry", "what the file is for: entry, forward, control or standin")
	if err := parse(flags, arguments, 1); err != nil {
		return err
	}
	path := flags.Arg(0)
	var err error
	switch *kind {
	case "entry":
		_, err = checker.ReadEntry(path)
	case "forward":
		_, err = checker.ReadForwarder(path)
	case "control":
		_, err = checker.ReadControl(path)
	case "standin":
		_, err = checker.ReadStandin(path)
	default:
		err = &UsageError{
			Reason: fmt.Sprintf("-kind %q: must be entry, forward, control or standin", *kind),
		}
	}
	if err != nil {
		return settingsError(path, err)
	}
	fmt.Fprintf(o.out, "%s: no mistakes\n", path)
	return nil
}

// readSettings parses a command line that takes just the settings file of an instance, reads the file and returns its path too.
func readSettings[T any](flags *flag.FlagSet, arguments []string, kind string, read func(path string) (*T, error)) (*T, string, error) {
	path := flags.String("settings", "", "settings file of the "+kind+" instance")
	if err := parse(flags, arguments, 0); err != nil {
		return nil, "", err
	}
	settings, err := read(*path)
	if err != nil {
		return nil, "", settingsError(*path, err)
	}
	return settings, *path, nil
}

func settingsError(path string, err error) error {
	var usage *UsageError
	if errors.As(err, &usage) {
		return err
	}
	return &UsageError{
		Reason: fmt.Sprintf("settings file %q:\n%s", path, err),
	}
}

// waitForSignal returns when the process is told to stop, or when the instance has stopped by itself.
func waitForSignal(stopped <-chan struct{}) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-stopped:
	}
}
