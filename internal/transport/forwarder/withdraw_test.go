package forwarder

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
	"pimentogate.example/pimentogate/internal/coordination/matcher"
	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/internal/transport/exchanger"
)

// newSilentAddress returns an address that neither accepts nor refuses connections, as that of a machine that is cut off: the queue of its listener is full.
func newSilentAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for range 3 {
		if conn, err := net.DialTimeout("tcp", address, 100*time.Millisecond); err == nil {
			t.Cleanup(func() { _ = conn.Close() })
		}
	}
	return address
}

// TestRequestThatReachesNoReplicaIsRefused guards against a request that has reached no replica being held until its deadline and then answered as if it might have run.
func TestRequestThatReachesNoReplicaIsRefused(t *testing.T) {
	const (
		target  = 200 * time.Millisecond
		timeout = 2 * time.Second
	)
	for _, idempotent := range []bool{false, true} {
		t.Run(fmt.Sprintf("idempotent %t", idempotent), func(t *testing.T) {
			t.Parallel()
			f := newTestForwarder(t, "entry-1", "a")
			for i := range 3 {
				f.putReplica(balancer.Replica{
					ID:      fmt.Sprintf("one-%d", i),
					Service: "one",
					Address: newSilentAddress(t),
					Zone:    "b",
				})
			}
			startedAt := time.Now()
			d := f.Serve(t.Context(), &exchanger.Call{
				ID:         "1",
				Method:     "POST",
				Path:       "/one/1",
				AtMostOnce: !idempotent,
			}, scatterer.Request{
				ID: "1",
				Route: &matcher.Route{
					Name:          "one",
					Service:       "one",
					Idempotent:    idempotent,
					Timeout:       timeout,
					TargetLatency: target,
					MaxRuns:       2,
				},
				ArrivedAt: startedAt,
				Deadline:  startedAt.Add(timeout),
			}, 1).Decision
			elapsed := time.Since(startedAt)
			if d.Kind != scatterer.Refused || d.RetryAfter <= 0 || elapsed > 2*target {
				t.Errorf("kind %v, reason %q, retry after %s, answered after %s", d.Kind, d.Reason, d.RetryAfter, elapsed)
			}
		})
	}
}

// TestCallerGoneIsNoFailure guards against replicas that are left out because callers have left while their requests waited for a connection.
func TestCallerGoneIsNoFailure(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		t.Run(fmt.Sprintf("idempotent %t", idempotent), func(t *testing.T) {
			t.Parallel()
			f := newTestForwarder(t, "entry-1", "a")
			f.putReplica(balancer.Replica{
				ID:      "one-0",
				Service: "one",
				Address: newSilentAddress(t),
				Zone:    "a",
			})
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			now := time.Now()
			f.Serve(ctx, &exchanger.Call{
				ID:         "1",
				Method:     "POST",
				Path:       "/one/1",
				AtMostOnce: !idempotent,
			}, scatterer.Request{
				ID: "1",
				Route: &matcher.Route{
					Name:          "one",
					Service:       "one",
					Idempotent:    idempotent,
					Timeout:       2 * time.Second,
					TargetLatency: time.Second,
					MaxRuns:       1,
				},
				ArrivedAt: now,
				Deadline:  now.Add(2 * time.Second),
			}, 1)
			time.Sleep(50 * time.Millisecond)
			f.mutex.Lock()
			defer f.mutex.Unlock()
			if r := f.balancer.Find("one-0"); r.IsBackingOff(time.Now()) || r.InFlight() > 0 {
				t.Errorf("the replica is avoided (%t) with %d requests in flight", r.IsBackingOff(time.Now()), r.InFlight())
			}
		})
	}
}
