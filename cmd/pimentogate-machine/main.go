// Command pimentogate-machine runs the control and entry instances that a platform starts. It links only the
// packages that they need, for a fast start and a small memory footprint.
package main

import (
	"net/http"
	"os"
	"runtime/debug"

	"github.com/go-logr/logr"

	"pimentogate.example/pimentogate/internal/transport/controller"
	"pimentogate.example/pimentogate/internal/transport/launcher"
	"pimentogate.example/pimentogate/platform"
)

// gcPercent is how much the heap may grow between garbage collections, in percent. It is below the Go default
// of 100 because memory costs more on these machines than the CPU time of more frequent collections. Entry
// instances collect between requests instead.
const gcPercent = 40

func main() {
	debug.SetGCPercent(gcPercent)
	adapter := launcher.Platform{
		Forwarding: platform.Protocol(),
		Control: func(c *controller.Controller, log logr.Logger) http.Handler {
			return platform.NewControlHandler(c, log)
		},
		ListServices: platform.ListServices,
	}
	os.Exit(launcher.New(os.Stdout, os.Stderr, adapter).Run(os.Args[1:]))
}
