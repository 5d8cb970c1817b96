package merger

import (
	"strings"
	"testing"
)

func recordOf(char string) string { return strings.Repeat(char, RecordSize) }

func TestTopRecords(t *testing.T) {
	parts := [][]byte{
		[]byte(recordOf("b") + recordOf("d") + "tail"),
		[]byte(recordOf("c") + recordOf("d")),
		nil,
	}
	cases := []struct {
		limit int
		want  string
	}{
		{0, ""},
		{1, recordOf("d")},
		{3, recordOf("d") + recordOf("d") + recordOf("c")},
		{9, recordOf("d") + recordOf("d") + recordOf("c") + recordOf("b")},
	}
	for _, c := range cases {
		if got := string(TopRecords(parts, c.limit)); got != c.want {
			t.Errorf("limit %d: got %q", c.limit, got)
		}
	}
}
