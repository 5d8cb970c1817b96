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
		{"nothing published", nil, 0, ""},
		{"higher version replaces", []step{{1, "a"}, {4, "b"}}, 4, "b"},
		{"lower version arrives late", []step{{4, "b"}, {1, "a"}}, 4, "b"},
		{"same version with other content", []step{{4, "b"}, {4, "c"}}, 4, "b"},
		{"resend", []step{{4, "b"}, {4, "b"}, {5, "d"}, {4, "b"}}, 5, "d"},
	}
	for _, c := range cases {
		p := New(nil)
		var version uint64
		for _, s := range c.steps {
			version = p.Publish(&wire.Publication{
				Version:  s.version,
				Document: []byte(s.content),
			})
		}
		restored := New(p.Publication())
		if version != c.wantVersion || string(restored.Publication().GetDocument()) != c.wantContent {
			t.Errorf("%s: got version %d, content %q", c.name, version, restored.Publication().GetDocument())
		}
	}
}
