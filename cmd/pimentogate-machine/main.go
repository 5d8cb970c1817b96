// Command pimentogate-machine runs the control and entry instances that a platform starts; it links nothing but what they need, so that they start quickly and hold little memory.
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

// heapGrowth is how much the heap may grow between collections, in percent: memory is dearer on these machines than the processor time of collecting more often.
const heapGrowth = 40

func main() {
	debug.SetGCPercent(heapGrowth)
	adapter := launcher.Platform{
		Forwarding: platform.Protocol(),
		Control: func(c *controller.Controller, log logr.Logger) http.Handler {
			return platform.NewControlHandler(c, log)
		},
	}
	os.Exit(launcher.New(os.Stdout, os.Stderr, adapter).Run(os.Args[1:]))
}
