package operator

import (
	"context"
	"flag"
	"fmt"
	"time"

	"pimentogate.example/pimentogate/internal/protocol/checker"
	"pimentogate.example/pimentogate/internal/transport/gateway"
	"pimentogate.example/pimentogate/internal/transport/launcher"
	"pimentogate.example/pimentogate/internal/transport/logger"
	"pimentogate.example/pimentogate/internal/transport/storer"
)

// shutdownTimeout limits the wait for requests in flight; callers' deadlines are shorter.
const shutdownTimeout = 2 * time.Minute

func (o *Operator) runForm(flags *flag.FlagSet, arguments []string) error {
	settings, _, err := launcher.ReadSettings(flags, arguments, "control", checker.ReadControl)
	if err != nil {
		return err
	}
	return storer.Form(settings.DataFolder, settings.Instance, settings.WireMembers())
}

func (o *Operator) runControl(flags *flag.FlagSet, arguments []string) error {
	return launcher.New(o.stdout, o.stderr, launcher.Platform{}).RunControl(flags, arguments)
}

func (o *Operator) runEntry(flags *flag.FlagSet, arguments []string) error {
	signals := launcher.NewSignals()
	settings, _, err := launcher.ReadSettings(flags, arguments, "entry", checker.ReadEntry)
	if err != nil {
		return err
	}
	launcher.LimitMemory(settings.Resources.MemoryMB)
	g, err := gateway.New(settings, logger.New(o.stderr, settings.LogLevel))
	if err != nil {
		return err
	}
	signals.WaitForStop(nil)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return g.Shutdown(ctx)
}

func (o *Operator) runCheck(flags *flag.FlagSet, arguments []string) error {
	kind := flags.String("kind", "entry", "kind of the settings: entry, forward, control or standin")
	if err := launcher.ParseFlags(flags, arguments, 1); err != nil {
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
		return launcher.SettingsError(path, err)
	}
	fmt.Fprintf(o.stdout, "%s: no mistakes\n", path)
	return nil
}
