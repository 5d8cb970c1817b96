package operator

import (
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"pimentogate.example/pimentogate/internal/protocol/checker"
	"pimentogate.example/pimentogate/internal/transport/controller"
)

// TestStatusNamesDrainedZones guards against a status that hides a drain, or counts the operator among the entry instances.
func TestStatusNamesDrainedZones(t *testing.T) {
	const host = "127.0.9.1"
	socket, err := net.Listen("tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	address := socket.Addr().String()
	_ = socket.Close()
	c, err := controller.New(&checker.ControlSettings{
		Instance:          "control-1",
		Zone:              "a",
		Listen:            address,
		DataFolder:        filepath.Join(t.TempDir(), "data"),
		ElectionTimeoutMs: 100,
		Formation: &checker.Formation{
			Seeds:      []string{host + ":1"},
			FirstStart: true,
		},
	}, logr.Discard(), tally.NoopScope, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	steps := []struct {
		zone    string
		drained bool
		want    string
	}{
		{"zone-b", false, "drained availability zones: none\n"},
		{"zone-b", true, "drained availability zones: zone-b\n"},
		{"zone-a", true, "drained availability zones: zone-a, zone-b\n"},
	}
	for _, step := range steps {
		// The instance may not be the leader yet.
		deadline := time.Now().Add(10 * time.Second)
		for err = c.DrainZone(t.Context(), step.zone, step.drained); err != nil; err = c.DrainZone(t.Context(), step.zone, step.drained) {
			if time.Now().After(deadline) {
				t.Fatal(err)
			}
		}
		status, stdout, stderr := runCommand("status", "-control", address)
		if status != ExitSuccess || !strings.Contains(stdout, step.want) || !strings.Contains(stdout, "of 0 entry instances") {
			t.Errorf("status %d, %s%s, want %q", status, stdout, stderr, step.want)
		}
	}
	if status, stdout, _ := runCommand("status", "-control", address, "-json"); status != ExitSuccess || !strings.Contains(stdout, `"drained-zones": [`) {
		t.Errorf("status %d, %s", status, stdout)
	}
}
