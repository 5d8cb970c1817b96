package publisher

import (
	"testing"

	"pimentogate.example/pimentogate/pkg/wire"
)

func TestPublish(t *testing.T) {
	type step struct {
		version uint64
		content string
	}
	cases := []struct {
		name        string
		steps       []step
		wantVersion uint64
		wantContent string
	}{
		{"nothing yet", nil, 0, ""},
		{"higher replaces", []step{{1, "a"}, {4, "b"}}, 4, "b"},
		{"older comes late", []step{{4, "b"}, {1, "a"}}, 4, "b"},
		{"same version with other content", []step{{4, "b"}, {4, "c"}}, 4, "b"},
		{"resend", []step{{4, "b"}, {4, "b"}, {5, "d"}, {4, "b"}}, 5, "d"},
	}
	for _, c := range cases {
		p := New(nil)
		var inForce uint64
		for _, s := range c.steps {
			inForce = p.Publish(&wire.Publication{
				Version:  s.version,
				Document: []byte(s.content),
			})
		}
		again := New(p.Publication())
		if inForce != c.wantVersion || string(again.Publication().GetDocument()) != c.wantContent {
			t.Errorf("%s: version %d, content %q", c.name, inForce, again.Publication().GetDocument())
		}
	}
}
