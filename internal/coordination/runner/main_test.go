package runner

import (
	"flag"
	"fmt"
	"testing"
)

// fixedSeed makes every run of the properties the same, unless -rapid.seed is given.
const fixedSeed = "20261203"

// checks is how many orders of events are tried.
const checks = "5000"

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", fixedSeed)
	}
	_ = flag.Set("rapid.nofailfile", "true")
	if flag.Lookup("rapid.checks").Value.String() == "100" {
		_ = flag.Set("rapid.checks", checks)
	}
	fmt.Println("rapid seed", flag.Lookup("rapid.seed").Value)
	m.Run()
}
