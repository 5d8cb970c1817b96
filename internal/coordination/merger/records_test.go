package merger

import (
	"strings"
	"testing"
)

func record(c string) string { return strings.Repeat(c, RecordSize) }

func TestGreatest(t *testing.T) {
	parts := [][]byte{
		[]byte(record("b") + record("d") + "rest"),
		[]byte(record("c") + record("d")),
		nil,
	}
	cases := []struct {
		limit int
		want  string
	}{
		{0, ""},
		{1, record("d")},
		{3, record("d") + record("d") + record("c")},
		{9, record("d") + record("d") + record("c") + record("b")},
	}
	for _, c := range cases {
		if got := string(Greatest(parts, c.limit)); got != c.want {
			t.Errorf("limit %d: %q", c.limit, got)
		}
	}
}
