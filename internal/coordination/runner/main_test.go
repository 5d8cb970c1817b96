package runner

import (
	"flag"
	"fmt"
	"testing"
)

// defaultSeed makes the property tests reproducible unless -rapid.seed is given.
const defaultSeed = "20261203"

// defaultChecks is the number of event sequences that are tried unless -rapid.checks is given.
const defaultChecks = "5000"

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", defaultSeed)
	}
	_ = flag.Set("rapid.nofailfile", "true")
	if flag.Lookup("rapid.checks").Value.String() == "100" {
		_ = flag.Set("rapid.checks", defaultChecks)
	}
	fmt.Println("rapid seed", flag.Lookup("rapid.seed").Value)
	m.Run()
}
