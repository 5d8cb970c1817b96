package versioner

import (
	"math"
	"testing"

	"pimentogate.example/pimentogate/pkg/wire"
)

func TestCoverage(t *testing.T) {
	cases := []struct {
		name           string
		covered, total uint64
		want           uint32
	}{
		{name: "nothing covered", covered: 0, total: 7, want: 0},
		{name: "total of zero", covered: 0, total: 0, want: 0},
		{name: "rounded down", covered: 2, total: 3, want: 666_666},
		{name: "not full while a unit is missing", covered: math.MaxUint64 - 1, total: math.MaxUint64, want: 999_999},
		{name: "fully covered", covered: 3, total: 3, want: wire.FullCoverage},
		{name: "product exceeds 64 bits", covered: 1 << 62, total: 1 << 63, want: 500_000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := Coverage(c.covered, c.total); got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
		})
	}
}
