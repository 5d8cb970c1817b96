package limiter

import "testing"

// TestDivideConnections checks that all entry instances together stay within a replica's connection limit, at
// current and planned fleet sizes with zones of equal size.
func TestDivideConnections(t *testing.T) {
	cases := []struct {
		name                                  string
		connections, instances, zoneInstances int
		isCrossZone                           bool
	}{
		{"current fleet", 26, 9, 3, true},
		{"many connections per instance", 110, 9, 3, true},
		{"planned fleet", 58, 73, 20, false},
		{"planned fleet, many connections", 500, 73, 20, true},
		{"at the cross-zone minimum", 26, 13, 4, true},
		{"below the cross-zone minimum", 25, 13, 4, false},
		{"one instance", 26, 1, 1, true},
		{"unknown instance counts", 26, 0, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := DivideConnections(c.connections, c.instances, c.zoneInstances)
			if (r.OtherZones > 0) != c.isCrossZone || r.SameZone < 1 {
				t.Errorf("unexpected connections: %+v", r)
			}
			if total := r.SameZone*c.zoneInstances + r.OtherZones*(c.instances-c.zoneInstances); total > c.connections {
				t.Errorf("%+v allows %d connections in total, the limit is %d", r, total, c.connections)
			}
		})
	}
}
