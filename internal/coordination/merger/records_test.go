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

// TestAccumulator checks that what the calls return, put together, holds the greatest records of all parts, equal ones included, and leaves out what earlier calls make useless.
func TestAccumulator(t *testing.T) {
	batches := [][]string{{"d", "b", "b"}, {"e", "a"}, {"d", "d", "c"}, {}, {"b"}}
	wants := []string{"dbb", "e", "d", "", ""}
	a := NewAccumulator(3)
	var all, returned [][]byte
	for i, batch := range batches {
		var parts [][]byte
		for _, char := range batch {
			parts = append(parts, []byte(recordOf(char)))
		}
		all = append(all, parts...)
		fresh := a.Add(parts)
		returned = append(returned, fresh)
		var want strings.Builder
		for _, char := range wants[i] {
			want.WriteString(recordOf(string(char)))
		}
		if string(fresh) != want.String() {
			t.Errorf("batch %d: got %q, want %q", i, fresh, want.String())
		}
	}
	if got, want := TopRecords(returned, 3), TopRecords(all, 3); string(got) != string(want) {
		t.Errorf("together: got %q, want %q", got, want)
	}
}
