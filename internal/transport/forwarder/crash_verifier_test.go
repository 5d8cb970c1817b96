package forwarder

import (
	"fmt"
	"net"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/screener"
	"pimentogate.example/pimentogate/pkg/wire"
)

// TestCrashVerifier checks which requests are quarantined by what dials of their replicas show. It guards against quarantines because of connections that were reset on the way.
func TestCrashVerifier(t *testing.T) {
	const fingerprint, replicas = 7, 3
	cases := []struct {
		name string
		// isUp is set if the replicas listen, and isPathUp if the others of their availability zone do.
		isUp, isPathUp bool
		// bornMs is the incarnation that control tells of; the attempts were sent to 1.
		bornMs           int64
		minWait, maxWait time.Duration
	}{
		{"processes ended", false, true, 1, time.Minute, time.Hour},
		{"processes run", true, true, 1, 0, 0},
		{"processes had been replaced before their attempts ended", true, true, 2, time.Minute, time.Hour},
		{"connections to the zone are refused on the way", false, false, 1, 0, 0},
	}
	for _, c := range cases {
		f := newTestForwarder(t, "entry", "a")
		for i := range replicas {
			f.directory.enrollForTest(fmt.Sprint(i), newDialTarget(t, c.isUp), c.bornMs)
		}
		f.directory.enrollForTest("unaffected", newDialTarget(t, c.isPathUp), 1)
		f.mutex.Lock()
		for i := range replicas {
			f.screener.RecordLoss(time.Now(), screener.Attempt{
				Fingerprint: fingerprint,
				Service:     "s",
				Replica:     fmt.Sprint(i),
				BornMs:      1,
				Zone:        "a",
				Round:       uint32(i + 1),
			})
		}
		f.crashes.verifier.wakeIfNeeded()
		f.mutex.Unlock()
		check := func() time.Duration {
			f.mutex.Lock()
			defer f.mutex.Unlock()
			return f.screener.Check(time.Now(), fingerprint).QuarantinedFor
		}
		isWanted := func() bool { got := check(); return got >= c.minWait && got <= c.maxWait }
		for deadline := time.Now().Add(2 * time.Second); !isWanted() && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		}
		if !isWanted() {
			t.Errorf("%s: quarantined for %s, want %s to %s", c.name, check(), c.minWait, c.maxWait)
		}
	}
}

// enrollForTest adds a replica that is ready.
func (d *directory) enrollForTest(id, address string, bornMs int64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.replicas[id] = &wire.Replica{
		Id:      id,
		Address: address,
		Zone:    "a",
		BornMs:  bornMs,
		State:   wire.ReplicaState_REPLICA_STATE_READY,
	}
}

// newDialTarget returns an address that accepts or refuses connections.
func newDialTarget(t *testing.T, isUp bool) string {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if isUp {
		t.Cleanup(func() { _ = socket.Close() })
	} else {
		_ = socket.Close()
	}
	return socket.Addr().String()
}
