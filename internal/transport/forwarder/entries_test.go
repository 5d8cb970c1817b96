package forwarder

import (
	"testing"

	"pimentogate.example/pimentogate/pkg/wire"
)

// TestIncompleteEntriesReplaceNoCompleteList guards against relays and keepers that are forgotten because a control instance that has restarted lists few entry instances.
func TestIncompleteEntriesReplaceNoCompleteList(t *testing.T) {
	d := &directory{}
	cases := []struct {
		name      string
		count     int
		followers uint32
		want      bool
	}{
		{"no list", 0, 0, false},
		{"first incomplete list", 2, 0, true},
		{"longer incomplete list", 3, 0, true},
		{"complete list", 5, 5, true},
		{"incomplete list after a complete one", 4, 0, false},
		{"later complete list", 4, 4, true},
	}
	for _, c := range cases {
		response := &wire.FollowResponse{
			Followers: c.followers,
		}
		for range c.count {
			response.Entries = append(response.Entries, &wire.EntryInstance{})
		}
		if got := d.acceptEntries(response); got != c.want {
			t.Errorf("%s: accepted %t, want %t", c.name, got, c.want)
		}
	}
}
