package forwarder

import (
	"slices"
	"testing"

	"pimentogate.example/pimentogate/internal/coordination/diverter"
	"pimentogate.example/pimentogate/internal/coordination/scatterer"
)

// TestDiversionStaysInHomeRegions guards against an instance that reaches no replica and sends a request with its body to a peer outside the home regions. Peers 1 and 2 are in zones a and b.
func TestDiversionStaysInHomeRegions(t *testing.T) {
	cases := []struct {
		name    string
		homes   []string
		regions map[string]string
		peers   int
	}{
		{"no home regions", nil, nil, 2},
		{"one region", []string{"east"}, map[string]string{"a": "east", "b": "west"}, 1},
		{"both regions", []string{"east", "west"}, map[string]string{"a": "east", "b": "west"}, 2},
		{"regions of zones unknown", []string{"east"}, nil, 0},
	}
	for _, c := range cases {
		sf := newStrandedFixture(t)
		f := sf.instances[sf.receiver]
		settings := *f.currentSettings()
		settings.ZoneRegions = c.regions
		f.Reload(&settings)
		route := f.RoutingTable().Routes[routeAll]
		route.HomeRegions = c.homes
		v := &diversion{
			forwarder: f,
			request: scatterer.Request{
				Route: &route,
			},
		}
		chosen := map[*diverter.Peer]bool{}
		for peer := v.choosePeer(); peer != nil; peer = v.choosePeer() {
			chosen[peer] = true
			if len(c.homes) > 0 && !slices.Contains(c.homes, c.regions[peer.Zone]) {
				t.Errorf("%s: the request is diverted to zone %s", c.name, peer.Zone)
			}
		}
		if len(chosen) != c.peers {
			t.Errorf("%s: %d peers, want %d", c.name, len(chosen), c.peers)
		}
	}
}
