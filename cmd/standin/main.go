// Command standin runs a stand-in upstream, which simulates a back end.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"pimentogate.example/pimentogate/internal/protocol/checker"
	"pimentogate.example/pimentogate/internal/transport/logger"
	"pimentogate.example/pimentogate/internal/transport/responder"
)

const (
	// drainTimeout limits how long a shutdown waits for the requests in flight.
	drainTimeout = 10 * time.Second
	exitFailure  = 1
	exitUsage    = 2
)

func main() {
	path := flag.String("settings", "", "settings file of the stand-in")
	flag.Usage = func() {
		fmt.Fprintf(flag.CommandLine.Output(), "standin: run a stand-in upstream\n\nexample: standin -settings replica-1.json\n\nflags:\n")
		flag.PrintDefaults()
	}
	flag.Parse()
	if flag.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "standin: unexpected argument %q\n", flag.Arg(0))
		os.Exit(exitUsage)
	}
	settings, err := checker.ReadStandin(*path)
	if err != nil {
		fmt.Fprintf(os.Stderr, "standin: -settings %q:\n%s\n", *path, err)
		os.Exit(exitUsage)
	}
	if err := run(settings); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(exitFailure)
	}
}

func run(settings *checker.StandinSettings) error {
	// The settings are read once only, and a hangup would otherwise end the process with its requests in flight.
	signal.Ignore(syscall.SIGHUP)
	r, err := responder.New(settings, logger.New(os.Stderr, settings.LogLevel))
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	err = r.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("requests in flight were aborted after %s: %w", drainTimeout, err)
	}
	return err
}
