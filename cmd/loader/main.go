// Command loader measures the gateway tier under an open-loop load.
package main

import (
	"os"

	"pimentogate.example/pimentogate/internal/transport/loader"
)

func main() {
	os.Exit(loader.NewCommand(os.Stdout, os.Stderr).Run(os.Args[1:]))
}
