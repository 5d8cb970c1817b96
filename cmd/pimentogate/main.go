// Command pimentogate runs control and entry instances and provides the commands for operators.
package main

import (
	"os"

	"pimentogate.example/pimentogate/internal/transport/operator"
)

func main() {
	os.Exit(operator.New(os.Stdout, os.Stderr).Run(os.Args[1:]))
}
