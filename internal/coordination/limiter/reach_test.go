package limiter

import "testing"

// TestDivide holds that all entry instances together stay within a replica's connections, at the sizes of today, of the next milestone and of the aim, by zones that are all alike.
func TestDivide(t *testing.T) {
	cases := []struct {
		name                               string
		connections, instances, neighbours int
		far                                bool
	}{
		{"today", 26, 9, 3, true},
		{"few instances", 110, 9, 3, true},
		{"grown", 58, 73, 20, false},
		{"grown, many connections", 500, 73, 20, true},
		{"at the limit", 26, 13, 4, true},
		{"beyond it", 25, 13, 4, false},
		{"one instance", 26, 1, 1, true},
		{"nothing is known", 26, 0, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := Divide(c.connections, c.instances, c.neighbours)
			if (r.Far > 0) != c.far || r.Near < 1 {
				t.Errorf("%+v", r)
			}
			if together := r.Near*c.neighbours + r.Far*(c.instances-c.neighbours); together > c.connections {
				t.Errorf("%+v make %d connections, the limit is %d", r, together, c.connections)
			}
		})
	}
}
