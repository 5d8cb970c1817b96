// Command standin runs a stand-in upstream.
package main

import (
	"context"
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

const leaveLimit = 10 * time.Second

func main() {
	path := flag.String("settings", "", "settings file of the stand-in")
	flag.Parse()
	if err := run(*path); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run(path string) error {
	settings, err := checker.ReadStandin(path)
	if err != nil {
		return err
	}
	r, err := responder.New(settings, logger.New(os.Stderr, settings.LogLevel))
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), leaveLimit)
	defer cancel()
	return r.Leave(ctx)
}
