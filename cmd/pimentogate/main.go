// Command pimentogate runs control and entry instances, and is what operators use.
package main

import (
	"net/http"
	"os"

	"github.com/go-logr/logr"

	"pimentogate.example/pimentogate/internal/transport/controller"
	"pimentogate.example/pimentogate/internal/transport/operator"
	"pimentogate.example/pimentogate/platform"
)

func main() {
	adapter := operator.Platform{
		Forwarding: platform.Protocol(),
		Control: func(c *controller.Controller, log logr.Logger) http.Handler {
			return platform.NewControlHandler(c, log)
		},
	}
	os.Exit(operator.New(os.Stdout, os.Stderr, adapter).Run(os.Args[1:]))
}
